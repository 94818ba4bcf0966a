-- The caller of a keyed request leaves while it runs: the run is finished, and its answer is there when
-- the caller comes back.
fleet { nodes = 3, domains = 1 }
local issued = now()
local first = send { node = 0, service = true, key = "k" }
run "160ms"
caller_leaves(first)
run "2s"
local again = send { node = 1, service = true, key = "k", issued_at = issued }
run "1s"
expect(result(again).repeated, "the kept answer")
expect(runs_on("service-0") == 1, "one run")
