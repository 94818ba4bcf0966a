-- Two at once: the platform is down and nodes die.
fleet { nodes = 8, domains = 4 }
seeds(true)
platform_down(true)
kill(0)
kill(3)
run "30s"
local sent = {}
for it = 1, 30 do
    sent[it] = send { node = ({ 1, 2, 4, 5, 6, 7 })[1 + it % 6] }
    run "100ms"
end
run "5s"
for it = 1, 30 do expect(result(sent[it]).answered, "the living serve") end
restart(0)
restart(3)
run "15s"
platform_down(false)
run "15s"
expect(submit "v2" == 2, "accepted")
run "5s"
for it = 0, 7 do expect(version(it) == 2, "in force on node " .. it) end
