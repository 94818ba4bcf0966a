-- New weights: every engine loads them, at most two at once; no request runs on the old ones after the
-- configuration is in force, and those that wait are answered when an engine is ready.
fleet { nodes = 8, domains = 4, engines = 6 }
local before = {}
for it = 1, 6 do before[it] = send { node = it } end
run "100ms"
expect(submit "v2" == 2, "accepted")
local sent = {}
for it = 1, 60 do
    sent[it] = send { node = it % 8 }
    run "100ms"
end
run "8s"
for it = 1, 6 do expect(result(before[it]).answered, "what ran before was finished") end
for it = 0, 5 do expect(weights_on("engine-" .. it) == "v2", "engine " .. it .. " loaded") end
for it = 1, 60 do expect(result(sent[it]).answered, "request " .. it .. " waited for weights") end
