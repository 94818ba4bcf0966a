-- An upstream that leaves gets no new work after the list's lag, the news' way and a permit's life; what
-- runs on it is finished.
fleet { nodes = 8, domains = 4, engines = 3 }
list_lag "2s"
for it = 0, 7 do send { node = it } end
run "100ms"
leaving("engine-1", true)
run "8s"
local before = runs_on "engine-1"
local sent = {}
for it = 1, 60 do
    sent[it] = send { node = it % 8 }
    run "100ms"
end
run "3s"
expect(runs_on "engine-1" == before, "no new work")
for it = 1, 60 do expect(result(sent[it]).answered, "the others serve") end
leaving("engine-1", false)
run "8s"
for it = 1, 60 do send { node = it % 8 } run "60ms" end
expect(runs_on "engine-1" > before, "it serves again")
