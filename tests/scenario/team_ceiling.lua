-- A team never runs more than its ceiling, wherever its requests arrive; what it does not use it can use
-- on any node; and an owner that dies leaves every node its base part.
fleet { nodes = 4, domains = 2, engines = 6, slots = 8, ceilings = { ["team-1"] = 16 } }
local sent = {}
local function send_round(count, node)
    for it = 1, count do sent[#sent + 1] = send { node = node or it % 4, team = "team-1" } end
end
send_round(60)
run "3s"
local answered, refused = 0, 0
for _, it in ipairs(sent) do
    local r = result(it)
    if r.answered then answered = answered + 1 end
    if r.reason == "team-ceiling" then
        refused = refused + 1
        expect(r.verdict == "not-run" and r.runs == 0, "refused and truly not run")
    end
end
expect(answered >= 14 and answered <= 16, "as many as the ceiling lets run, got " .. answered)
expect(refused == #sent - answered, "the others are told so")
-- All of it on one node: beyond its base part it gets the rest from the owner.
run "5s"
sent = {}
for it = 1, 10 do send_round(1, 2) end
run "2s"
for _, it in ipairs(sent) do expect(result(it).answered, "one node may use most of it") end
-- Other teams have no ceiling.
local other = {}
for it = 1, 30 do other[it] = send { node = it % 4 } end
run "3s"
for it = 1, 30 do expect(result(other[it]).answered, "no ceiling, no refusal") end
-- Whichever node owned the team: when it is gone, the base parts are left, then the next owner.
for it = 0, 2 do
    kill(it)
    local one = send { node = 3, team = "team-1" }
    run "2s"
    expect(result(one).answered, "the base part needs nobody")
end
