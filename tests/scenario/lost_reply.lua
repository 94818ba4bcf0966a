-- The reply to a submission is lost after its effect: it is accepted once, and in force everywhere.
fleet { nodes = 8, domains = 4 }
lose_replies(1)
expect(submit "v2" == 2, "accepted, as version 2")
run "5s"
for it = 0, 7 do expect(version(it) == 2, "in force on node " .. it) end
lose_replies(1)
restart(3)
expect(submit "v3" == 3, "accepted, as version 3")
run "10s"
for it = 0, 7 do expect(version(it) == 3, "in force on node " .. it) end
