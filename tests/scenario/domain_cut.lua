-- A failure domain is cut off from the others and from the platform: it serves on its own, on the last
-- version, and catches up.
fleet { nodes = 8, domains = 4, engines = 4 }
cut("domain-1", true)
expect(submit "v2" == 2, "accepted")
run "10s"
expect(version(1) == 1 and version(0) == 2, "the others go on")
local inside = send { node = 1 }
local outside = send { node = 0 }
run "5s"
expect(result(inside).answered and result(outside).answered, "both sides serve")
cut("domain-1", false)
run "15s"
expect(version(1) == 2 and version(5) == 2, "caught up")
