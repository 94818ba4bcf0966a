-- An upstream breaks in the middle of a run. What may be repeated is answered all the same, once;
-- what may not be repeated ends with a truthful verdict.
fleet { nodes = 4, domains = 2, engines = 4 }
local again = send { node = 0 }
local once = send { node = 1, service = true, repeatable = false }
run "160ms"
for it = 0, 3 do break_upstream("engine-" .. it) end
break_upstream "service-0"
run "3s"
expect(result(again).answered, "the repeatable request is answered")
expect(result(again).runs == 2, "it was run a second time")
expect(result(once).verdict == "may-have-run", "the other is told that it may have run")
expect(result(once).runs == 1, "and was not run again")
