-- A planned stop hands the keys on: a key that ran gets its kept answer from the successor, and one that
-- did not run can run there.
fleet { nodes = 4, domains = 2 }
local issued = now()
local first = {}
for it = 1, 40 do first[it] = send { node = it % 4, service = true, key = "k" .. it } end
run "6s"
for it = 1, 40 do expect(result(first[it]).answered, "each ran") end
for node = 0, 2 do
    stop(node)
    run "2s"
    for it = 1, 40 do
        local again = send { node = 3, service = true, key = "k" .. it, issued_at = issued }
        run "100ms"
        expect(result(again).repeated, "kept answer of key " .. it .. " after stop " .. node .. ": " .. result(again).reason)
    end
    kill(node)
    run "3s"
end
expect(runs_on("service-0") == 40, "once each")
-- Issued before the stops, sent for the first time after them.
local late = send { node = 3, service = true, key = "late", issued_at = issued + 1 }
run "2s"
expect(result(late).answered, "nobody ran it, and that is known")
