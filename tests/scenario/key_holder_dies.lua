-- Every node dies and comes back: no key that ran before is run again, and none is said not to have run.
fleet { nodes = 4, domains = 2 }
local keys = {}
local issued = now()
for it = 1, 20 do keys[it] = send { node = it % 4, service = true, key = "k" .. it } end
run "6s"
for it = 1, 20 do expect(result(keys[it]).answered, "each ran") end
expect(runs_on("service-0") == 20, "once")
for it = 0, 3 do kill(it) end
run "5s"
for it = 0, 3 do restart(it) end
for round = 1, 10 do
    run "3s"
    for it = 1, 20 do
        local r = send { node = (it + round) % 4, service = true, key = "k" .. it, issued_at = issued }
        run "1s"
        if result(r).ended then expect(result(r).verdict ~= "not-run", "nobody can know that") end
    end
end
expect(runs_on("service-0") == 20, "still once each")
local fresh = send { node = 2, service = true, key = "fresh" }
run "2s"
expect(result(fresh).answered, "a new key runs")
