// SPDX-License-Identifier: MIT
#include "apps/load/outcome.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace fordwood::apps {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char *, 6> kOutcomeNames{"answered",  "refused", "broken",
                                                    "truncated", "crossed", "lost"};

double toMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// The value below which the given fraction of the samples lies.
double quantile(std::vector<double> samples, double fraction)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto index
        = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(samples.size() - 1)));
    return samples[index];
}

Json quantiles(const std::vector<double> &samples)
{
    return Json{{"p50", quantile(samples, 0.50)},
                {"p95", quantile(samples, 0.95)},
                {"p99", quantile(samples, 0.99)}};
}

Json summary(const std::vector<RequestRecord> &records, const StandinCounts &counts,
             Duration duration)
{
    std::vector<double> firstBytes;
    std::vector<double> betweenTokens;
    std::vector<double> total;
    std::array<int, kOutcomeNames.size()> outcomes{};
    std::map<std::string, int> reasons;
    std::map<std::string, std::map<std::string, int>> byTarget;
    for (const RequestRecord &it : records) {
        const auto outcome = static_cast<std::size_t>(it.outcome);
        ++outcomes.at(outcome);
        ++byTarget[it.target][kOutcomeNames.at(outcome)];
        if (!it.reason.empty())
            ++reasons[it.reason];
        if (it.outcome != CallerOutcome::Answered)
            continue;
        firstBytes.push_back(toMs(it.firstByte));
        total.push_back(toMs(it.total));
        if (it.betweenTokens > Duration::zero())
            betweenTokens.push_back(toMs(it.betweenTokens));
    }
    Json byOutcome = Json::object();
    for (std::size_t it = 0; it < outcomes.size(); ++it)
        byOutcome[kOutcomeNames[it]] = outcomes[it];
    const double seconds = std::chrono::duration<double>(duration).count();
    return Json{{"requests", records.size()},
                {"seconds", seconds},
                {"outcomes", byOutcome},
                {"reasons", reasons},
                {"by_target", byTarget},
                {"first_byte_ms", quantiles(firstBytes)},
                {"whole_ms", quantiles(total)},
                {"between_tokens_ms", quantiles(betweenTokens)},
                {"recomputed_share",
                 counts.promptTokens > 0 ? counts.uncachedTokens / counts.promptTokens : 0.0},
                {"link_bytes", counts.linkBytes},
                {"doubled_runs", counts.doubledRuns},
                {"retries", counts.retries},
                {"cancelled_runs", counts.cancelled}};
}

} // namespace

std::string reportText(const std::vector<RequestRecord> &records, const StandinCounts &counts,
                       Duration duration)
{
    const Json all = summary(records, counts, duration);
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << "requests " << records.size() << " in " << all["seconds"].get<double>() << " s\n";
    for (const auto &[name, n] : all["outcomes"].items())
        out << "  " << name << " " << n << "\n";
    for (const auto &[name, n] : all["reasons"].items())
        out << "  reason " << name << " " << n << "\n";
    for (const auto &[name, n] : counts.retries)
        out << "  retry " << name << " " << n << "\n";
    for (const char *it : {"first_byte_ms", "whole_ms", "between_tokens_ms"}) {
        out << it;
        for (const auto &[name, value] : all[it].items())
            out << " " << name << " " << value.get<double>();
        out << "\n";
    }
    out << "recomputed share " << all["recomputed_share"].get<double>() << "\n"
        << "link bytes " << counts.linkBytes << "\n"
        << "doubled runs " << counts.doubledRuns << "\n"
        << "cancelled runs " << counts.cancelled << "\n";
    return out.str();
}

std::string reportJson(const std::vector<RequestRecord> &records, const StandinCounts &counts,
                       Duration duration)
{
    return summary(records, counts, duration).dump(2);
}

} // namespace fordwood::apps
