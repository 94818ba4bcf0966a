// SPDX-License-Identifier: MIT
#include "apps/load/workload.hpp"

#include <algorithm>
#include <random>

#include "config/document.hpp"
#include "config/settings.hpp"

namespace fordwood::apps {

namespace {

using config::Field;
using enum config::FieldType;

constexpr double kMaxCount = 1e9;

constexpr Field kRunFields[] = {
    {"targets", TextList, true, 0, 0, "", "Addresses of entry VMs, used in turn."},
    {"engines", TextList, false, 0, 0, "[]", "Stand-in engines whose statistics are read."},
    {"services", TextList, false, 0, 0, "[]", "Stand-in services whose runs are counted."},
    {"stores", TextList, false, 0, 0, "[]", "Stand-in stores whose link use is read."},
    {"rate", Number, false, 1e-3, 1e6, "10",
     "New conversations a second, whatever the answers do."},
    {"requests", Integer, false, 1, kMaxCount, "100", "Requests in all, follow-ups included."},
    {"seed", Integer, false, 0, kMaxCount, "1", "Seed of the random arrivals."},
    {"deadline", Span, false, 0.001, 86400, "30s", "Deadline that each request names."},
};
constexpr Field kConversationFields[] = {
    {"team", Text, true, 0, 0, "", "Name of the team, for the report."},
    {"key", Text, true, 0, 0, "", "Bearer key of the team."},
    {"weight", Number, false, 1e-6, 1e6, "1", "Share of the conversations."},
    {"model", Text, false, 0, 0, "", "Model that is asked."},
    {"path", Text, false, 0, 0, "", "Path of a plain call, instead of a model."},
    {"contexts", Integer, false, 1, kMaxCount, "1", "Number of different shared contexts."},
    {"context_tokens", Integer, false, 0, 1e6, "0", "Length of a shared context, in tokens."},
    {"question_tokens", Integer, false, 1, 1e6, "16", "Length of one question, in tokens."},
    {"new_tokens", Integer, false, 2, 1e6, "16", "Tokens to generate."},
    {"returns", Integer, false, 0, 1e6, "0", "Follow-ups of a conversation."},
    {"return_gap", Span, false, 0, 86400, "1s", "Mean time between a question and its follow-up."},
    {"stream", Flag, false, 0, 0, "true", "Whether answers are streamed."},
};
constexpr config::Section kSections[] = {
    {"run", false, kRunFields, "One run."},
    {"conversation", true, kConversationFields, "One kind of conversation."},
};

void readRun(const config::CheckedTable &table, Workload &workload)
{
    workload.targets = table.textList("targets");
    workload.engines = table.textList("engines");
    workload.services = table.textList("services");
    workload.stores = table.textList("stores");
    workload.rate = table.number("rate", workload.rate);
    workload.requests = static_cast<std::size_t>(table.integer("requests", 100));
    workload.seed = static_cast<std::uint64_t>(table.integer("seed", 1));
    workload.deadline = table.span("deadline", workload.deadline);
}

std::size_t readSize(const config::CheckedTable &table, std::string_view key, std::int64_t fallback)
{
    return static_cast<std::size_t>(table.integer(key, fallback));
}

ConversationKind readKind(const config::CheckedTable &table)
{
    ConversationKind kind;
    kind.team = table.text("team");
    kind.key = table.text("key");
    kind.weight = table.number("weight", 1.0);
    kind.model = table.text("model");
    kind.path = table.text("path");
    kind.contexts = readSize(table, "contexts", 1);
    kind.contextTokens = readSize(table, "context_tokens", 0);
    kind.questionTokens = readSize(table, "question_tokens", 16);
    kind.newTokens = readSize(table, "new_tokens", 16);
    kind.followUps = readSize(table, "returns", 0);
    kind.followUpGap = table.span("return_gap", kind.followUpGap);
    kind.stream = table.flag("stream", true);
    return kind;
}

} // namespace

std::optional<Workload> readWorkload(const std::string &path, config::ConfigErrors &errors)
{
    const auto text = config::readFile(path, errors);
    if (!text)
        return std::nullopt;
    auto document = config::parseDocument(path, *text, errors);
    if (!document)
        return std::nullopt;
    const std::vector<config::Document> documents{std::move(*document)};
    Workload workload;
    for (const config::CheckedTable &it : config::checkDocuments(documents, kSections, errors)) {
        if (it.section() == "run") {
            readRun(it, workload);
            continue;
        }
        workload.kinds.push_back(readKind(it));
        if (workload.kinds.back().model.empty() == workload.kinds.back().path.empty())
            errors.push_back(it.error("model", "is set together with path, or both are missing",
                                      "expected one of model and path"));
    }
    if (errors.empty() && (workload.targets.empty() || workload.kinds.empty()))
        errors.push_back({path, 0, 0, "run", "is incomplete",
                          "expected [run] with targets and at least one [[conversation]]"});
    if (!errors.empty())
        return std::nullopt;
    return workload;
}

std::vector<PlannedRequest> makePlan(const Workload &workload)
{
    std::mt19937_64 random(workload.seed);
    std::vector<double> weights;
    for (const ConversationKind &it : workload.kinds)
        weights.push_back(it.weight);
    std::discrete_distribution<std::size_t> pickKind(weights.begin(), weights.end());
    std::exponential_distribution<double> nextArrival(workload.rate);
    const auto seconds = [](double value) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    };

    std::vector<PlannedRequest> plan;
    double now = 0;
    // Start one conversation per requested request, so that there are enough. The plan is then
    // sorted by time and cut to the requested length.
    for (std::size_t n = 0; n < workload.requests; ++n) {
        now += nextArrival(random);
        PlannedRequest request;
        request.at = seconds(now);
        request.kind = pickKind(random);
        request.conversation = n;
        const ConversationKind &kind = workload.kinds[request.kind];
        request.context = random() % kind.contexts;
        double later = now;
        for (std::size_t turn = 0; turn <= kind.followUps; ++turn) {
            request.turn = turn;
            request.at = seconds(later);
            plan.push_back(request);
            const double gap = std::chrono::duration<double>(kind.followUpGap).count();
            if (gap > 0)
                later += std::exponential_distribution<double>(1.0 / gap)(random);
        }
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    plan.resize(workload.requests);
    return plan;
}

std::string workloadReference()
{
    return config::referencePage(
        kSections, "Workload files",
        "Read by `fordwood-load run`. Every key is checked; an unknown key "
        "is an error. A token counts as four bytes of text.");
}

} // namespace fordwood::apps
