-- The platform is down for minutes: requests are served on the last version; a keyed request past every
-- tenure is not said to be unrun; a fresh node learns from its peers; afterwards all is as before.
fleet { nodes = 8, domains = 4 }
seeds(true)
platform_down(true)
run "120s"
local plain = send { node = 3 }
local keyed = send { node = 3, service = true, key = "k" }
restart(5)
run "15s"
expect(result(plain).answered, "requests are served")
expect(result(keyed).reason == "key-too-new", "no tenure reaches the present")
expect(result(keyed).verdict == "may-have-run", "so nothing is promised")
expect(version(5) == 1, "the fresh node has the version of its peers, not " .. version(5))
local fresh = send { node = 5 }
run "2s"
expect(result(fresh).answered, "and serves")
platform_down(false)
run "20s"
local again = send { node = 3, service = true, key = "k2" }
run "2s"
expect(result(again).answered, "keys run again")
expect(submit "v2" == 2, "configurations are accepted again")
run "5s"
for it = 0, 7 do expect(version(it) == 2, "and are in force") end
