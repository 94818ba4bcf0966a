-- A holder is paused past the end of its tenure and then goes on: its successor and it never both run
-- the same key.
fleet { nodes = 4, domains = 2 }
for it = 0, 3 do
    pause(it, true)
    run "25s"
    local issued = now()
    for n = 1, 12 do send { node = (it + 1) % 4, service = true, key = it .. "/" .. n } end
    run "2s"
    pause(it, false)
    for n = 1, 12 do
        send { node = it, service = true, key = it .. "/" .. n, issued_at = issued }
    end
    run "3s"
end
-- The check after each step finds a key that ran twice.
expect(runs_on("service-0") > 0, "some ran")
