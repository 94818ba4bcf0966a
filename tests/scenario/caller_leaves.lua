-- A caller leaves: its place is free for the next.
fleet { nodes = 1, domains = 1, engines = 1, slots = 1 }
local first = send { node = 0 }
run "120ms"
caller_leaves(first)
local second = send { node = 0 }
run "1s"
expect(result(first).reason == "caller-left", "ended")
expect(result(second).answered, "the next is served")
