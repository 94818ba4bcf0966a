-- Two at once: keepers of tenures lose the replies to their writes while holders are paused.
fleet { nodes = 6, domains = 3 }
for round = 1, 4 do
    lose_replies(6)
    pause(round, true)
    local issued = now()
    for it = 1, 10 do send { node = 0, service = true, key = round .. "/" .. it } end
    run "15s"
    pause(round, false)
    for it = 1, 10 do
        send { node = round, service = true, key = round .. "/" .. it, issued_at = issued }
    end
    run "10s"
end
expect(runs_on("service-0") >= 10, "keys ran")
