-- The entry node, the node that grants permits, or the one that holds keys dies at each step of a request:
-- asked, granted, sent, running, answered. Whoever lives hears the truth, and nothing runs twice.
for after = 0, 640, 40 do
    for victim = 0, 2 do
        fleet { nodes = 3, domains = 1, engines = 2, slots = 1 }
        local issued = now()
        local sent = {}
        for node = 0, 2 do
            sent[#sent + 1] = send { node = node }
            sent[#sent + 1] = send { node = node, service = true, repeatable = false }
            sent[#sent + 1] = send { node = node, service = true, key = "k" .. node }
        end
        run(after .. "ms")
        kill(victim)
        run "8s"
        for _, it in ipairs(sent) do expect(result(it).ended, "every request has an end") end
        for node = 0, 2 do
            local again = send { node = (victim + 1) % 3, service = true, key = "k" .. node,
                                 issued_at = issued }
            run "1s"
            local r = result(again)
            expect(r.answered or r.verdict ~= "", "the key is judged")
        end
        for _, it in ipairs(sent) do
            local r = result(it)
            expect(r.node_died or r.answered or r.reason ~= "", "an answer or a reason")
        end
    end
end
