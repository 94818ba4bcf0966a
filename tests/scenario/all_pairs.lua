-- Every failure together with every other, under load: the checks after each step hold meanwhile; when
-- both are over, every node serves, keys run, and a configuration comes into force.
local failures = {
    { "platform down", function() platform_down(true) end, function() platform_down(false) end },
    { "platform slow", function() platform_slow(true) end, function() platform_slow(false) end },
    { "replies lost", function() lose_replies(8) end, function() end },
    { "holder paused past its tenure", function() pause(1, true) end, function() pause(1, false) end },
    { "VM dies", function() kill(2) end, function() restart(2) end },
    { "planned stop", function() stop(3) end, function() restart(3) end },
    { "domain cut", function() cut("domain-0", true) end, function() cut("domain-0", false) end },
    { "list lag", function() list_lag "8s" end, function() list_lag "1s" end },
    { "racing submitters", function() submit_both("a", "b") end, function() end },
    { "upstream leaves", function() leaving("engine-1", true) end,
      function() leaving("engine-1", false) end },
    { "upstream breaks", function() break_upstream "engine-0" end, function() end },
}

local function load(seconds)
    for it = 1, seconds * 5 do
        send { node = it % 6, repeatable = it % 2 == 0 }
        send { node = (it + 1) % 6, service = true, key = it % 3 == 0 and "k" .. it or nil }
        run "200ms"
    end
end

for i = 1, #failures do
    for j = i + 1, #failures do
        local names = failures[i][1] .. " and " .. failures[j][1]
        fleet { nodes = 6, domains = 3, engines = 4, ceilings = { ["team-0"] = 12 } }
        seeds(true)
        load(1)
        failures[i][2]()
        load(1)
        failures[j][2]()
        load(14)
        failures[i][3]()
        load(1)
        failures[j][3]()
        run "60s"
        expect(submit("last") > 0, names .. ": a configuration is accepted")
        run "40s"
        for node = 0, 5 do
            local plain = send { node = node }
            local keyed = send { node = node, service = true, key = "after" .. node }
            run "2s"
            expect(result(plain).answered, names .. ": node " .. node .. " serves, " .. result(plain).reason)
            expect(result(keyed).answered, names .. ": keys run, " .. result(keyed).reason)
        end
        for it = 0, 3 do
            expect(weights_on("engine-" .. it) == "last", names .. ": weights of engine " .. it)
        end
    end
end
