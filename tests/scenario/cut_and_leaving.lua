-- Two at once: a domain is cut off while an upstream in it leaves. Outside nobody sends to it; inside
-- the news comes with the healing.
fleet { nodes = 8, domains = 4, engines = 4 }
cut("domain-2", true)
leaving("engine-2", true)
run "20s"
local before = runs_on "engine-2"
for it = 1, 30 do
    send { node = ({ 0, 1, 3, 4, 5, 7 })[1 + it % 6] }
    run "60ms"
end
run "2s"
expect(runs_on "engine-2" == before, "no new work from outside")
cut("domain-2", false)
run "15s"
before = runs_on "engine-2"
for it = 1, 16 do
    send { node = it % 8 }
    run "60ms"
end
run "2s"
expect(runs_on "engine-2" == before, "no new work from anywhere")
