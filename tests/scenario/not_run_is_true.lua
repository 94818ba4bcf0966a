-- Refusals that say "not run" are true: an upstream that refuses, a queue past its deadline.
fleet { nodes = 2, domains = 1, engines = 1, slots = 1 }
refuse_next("service-0", 100)
local refused = send { node = 0, service = true, repeatable = false }
run "2s"
expect(result(refused).verdict == "not-run", "what the upstream refused did not run")
expect(result(refused).runs == 0, "indeed not")
local waiting = {}
for it = 1, 30 do waiting[it] = send { node = it % 2, deadline = "2s" } end
run "5s"
local late = 0
for it = 1, 30 do
    local r = result(waiting[it])
    expect(r.ended, "every request has an end")
    if not r.answered then
        late = late + 1
        if r.verdict == "not-run" then expect(r.runs == 0, "not-run is true") end
    end
end
expect(late > 0, "one slot cannot serve thirty requests in two seconds")
