// SPDX-License-Identifier: MIT
// The example of docs/embedding.md: two teams share one place in proportion to their shares.
#include <iostream>

#include "fordwood/manual_clock.hpp"
#include "fordwood/permit_scheduler.hpp"

int main()
{
    using namespace std::chrono_literals;
    fordwood::ManualClock clock;
    fordwood::PermitScheduler book(clock);
    book.setUpstreams({{"printer", 1, false}});
    book.setShares({{"office", 3.0}, {"club", 1.0}});

    std::uint64_t id = 0;
    for (const char *team : {"office", "club"}) {
        for (int it = 0; it < 20; ++it) {
            fordwood::PermitRequest ask;
            ask.requestId = ++id;
            ask.upstream = "printer";
            ask.team = team;
            ask.wait = 1h;
            book.request(ask);
        }
    }
    int office = 0;
    for (int it = 0; it < 16; ++it) {
        const auto granted = book.takeAnswers();
        office += granted.back().requestId <= 20 ? 1 : 0;
        book.release(0, granted.back().permitId, "printer", 0.0);
    }
    std::cout << "office got " << office << " of 16 places\n";
    constexpr int kFairPart = 12;
    return office >= kFairPart - 1 && office <= kFairPart + 1 ? 0 : 1;
}
