-- A planned stop cuts off no request; what comes later is refused and truly not run.
fleet { nodes = 4, domains = 2 }
local running = {}
for it = 1, 6 do running[it] = send { node = 1 } end
run "100ms"
stop(1)
local late = send { node = 1 }
run "5s"
for it = 1, 6 do expect(result(running[it]).answered, "finished") end
expect(result(late).reason == "stopping" and result(late).runs == 0, "refused, not run")
