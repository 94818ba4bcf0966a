-- Two operators submit at the same moment: one wins, the other is told so, and every node has the
-- winner's configuration; also when replies are lost.
fleet { nodes = 6, domains = 3, engines = 3 }
local last = 1
for round = 1, 6 do
    if round % 2 == 0 then lose_replies(1) end
    local one, other = submit_both("a" .. round, "b" .. round)
    local expected = last + 1
    expect((one == expected) ~= (other == expected), "one of the two wins, got " .. one .. " and " .. other)
    expect(one == 0 or other == 0, "the other is refused")
    last = expected
    run "20s"
    for it = 0, 5 do expect(version(it) == last, "in force on node " .. it) end
    local winner = one > 0 and "a" .. round or "b" .. round
    for it = 0, 2 do expect(weights_on("engine-" .. it) == winner, "the winner's, whole") end
end
