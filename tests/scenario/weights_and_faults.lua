-- Two at once: weights are swapped while the nodes that order it die or are paused, and while the
-- platform loses replies or is down. The checks after each step see every order; in the end all
-- engines serve what is wanted.
fleet { nodes = 6, domains = 3, engines = 6 }
expect(submit "v2" == 2, "accepted")
run "600ms"
kill(0)
pause(1, true)
lose_replies(3)
run "2s"
kill(2)
run "20s"
pause(1, false)
restart(0)
restart(2)
platform_down(true)
run "30s"
platform_down(false)
run "90s"
for it = 0, 5 do expect(weights_on("engine-" .. it) == "v2", "engine " .. it .. " loaded") end
-- Back at once, and again: the last accepted one wins everywhere.
expect(submit "v3" == 3, "accepted")
run "1s"
expect(submit "v4" == 4, "accepted")
run "60s"
for it = 0, 5 do expect(weights_on("engine-" .. it) == "v4", "engine " .. it .. " loaded") end
local fresh = send { node = 3 }
run "2s"
expect(result(fresh).answered, "served")
