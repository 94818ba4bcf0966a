-- The same key through every node, at once and later, runs once; everybody gets the same answer.
fleet { nodes = 8, domains = 4 }
local issued = now()
local first = send { node = 0, service = true, key = "k" }
local early = send { node = 1, service = true, key = "k" }
run "1s"
expect(result(first).answered ~= result(early).answered, "one of the two runs")
for it = 0, 7 do
    local later = send { node = it, service = true, key = "k", issued_at = issued }
    run "500ms"
    expect(result(later).repeated, "a later send gets the kept answer")
end
expect(runs_on("service-0") == 1, "one run in all")
-- Another team may use the same text.
local other = send { node = 3, service = true, key = "k", team = "team-1" }
run "1s"
expect(result(other).answered and not result(other).repeated, "keys of teams are apart")
