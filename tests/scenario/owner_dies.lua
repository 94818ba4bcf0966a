-- The node that grants permits dies while requests wait: others are served by a small local allowance,
-- then by the next owner. Nothing is lost on the nodes that live.
fleet { nodes = 4, domains = 1, engines = 2, slots = 2 }
local all = {}
for it = 1, 8 do all[#all + 1] = send { node = 1 + it % 3 } end
run "60ms"
kill(0)
for it = 1, 30 do
    all[#all + 1] = send { node = 1 + it % 3 }
    run "200ms"
end
run "20s"
local answered = 0
for _, it in ipairs(all) do
    expect(result(it).ended, "every request has an end")
    if result(it).answered then answered = answered + 1 end
end
expect(answered >= 30, "most are answered, got " .. answered)
