// SPDX-License-Identifier: MIT
#include "apps/load/runner.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <sstream>
#include <thread>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include "adapters/http/http_get.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::apps {

namespace {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kBytesPerToken = 4;
constexpr auto kGrace = std::chrono::seconds(5); // after a request's own deadline
constexpr auto kStatsTimeout = std::chrono::seconds(2);

// A text of so many tokens that depends on its seed alone.
std::string textOf(const std::string &seed, std::size_t tokens)
{
    std::string text;
    std::uint64_t state = stableHash(seed);
    while (text.size() < tokens * kBytesPerToken) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        text += std::to_string(state >> 40) + " ";
    }
    text.resize(tokens * kBytesPerToken);
    return text;
}

// The prompt of one turn: the shared context, then every question so far.
std::vector<std::pair<std::string, std::string>> messagesOf(const ConversationKind &kind,
                                                            const PlannedRequest &request)
{
    std::vector<std::pair<std::string, std::string>> messages;
    messages.emplace_back(
        "system", textOf(kind.team + "/" + std::to_string(request.context), kind.contextTokens));
    for (std::size_t turn = 0; turn <= request.turn; ++turn) {
        const std::string seed = std::to_string(request.conversation) + "/" + std::to_string(turn);
        messages.emplace_back("user", textOf(seed, kind.questionTokens));
    }
    return messages;
}

// One request under way.
class Sending
{
public:
    Sending(const Workload &workload, const PlannedRequest &plan, std::size_t number,
            SteadyClock::time_point intended, RequestRecord &record)
        : m_kind(workload.kinds[plan.kind]), m_intended(intended), m_record(record),
          m_easy(curl_easy_init())
    {
        m_record.kind = plan.kind;
        m_record.id = std::to_string(workload.seed) + "-" + std::to_string(number);
        const std::string &target = workload.targets[number % workload.targets.size()];
        m_record.target = target;
        std::string path = m_kind.path;
        if (path.empty()) {
            path = "/v1/chat/completions";
            prepareCompletion(plan);
        } else {
            m_body = textOf(m_record.id, m_kind.questionTokens);
        }
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(workload.deadline);
        addHeader("Authorization: Bearer " + m_kind.key);
        addHeader("X-Request-Id: " + m_record.id);
        addHeader("Fordwood-Deadline: " + std::to_string(ms.count()) + "ms");
        addHeader("Expect:");
        const std::string url = "http://" + target + path;
        curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
        curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_body.data());
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_body.size()));
        curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(ms.count() + std::chrono::milliseconds(kGrace).count()));
        curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &Sending::onHeader);
        curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
        curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &Sending::onBody);
        curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    }
    Sending(const Sending &) = delete;
    Sending &operator=(const Sending &) = delete;
    ~Sending()
    {
        curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headers);
    }

    CURL *easy() const { return m_easy; }

    void finish(CURLcode ec)
    {
        m_record.whole = SteadyClock::now() - m_intended;
        if (m_events > 1)
            m_record.betweenTokens = (m_lastByte - m_firstByte) / (m_events - 1);
        m_record.firstByte = m_firstByte - m_intended;
        m_record.outcome = judge(ec);
        if (m_record.outcome == CallerOutcome::Answered)
            m_record.reason.clear();
    }

private:
    void prepareCompletion(const PlannedRequest &plan)
    {
        Json messages = Json::array();
        std::string prompt;
        for (const auto &[role, content] : messagesOf(m_kind, plan)) {
            messages.push_back({{"role", role}, {"content", content}});
            prompt += role + ":" + Json(content).dump() + "\n";
        }
        m_expected = std::to_string(stableHash(prompt));
        m_body = Json{{"model", m_kind.model},
                      {"messages", messages},
                      {"max_tokens", m_kind.newTokens},
                      {"stream", m_kind.stream}}
                     .dump();
        addHeader("Content-Type: application/json");
    }

    void addHeader(const std::string &line)
    {
        m_headers = curl_slist_append(m_headers, line.c_str());
    }

    static std::size_t onHeader(char *data, std::size_t size, std::size_t n, void *self)
    {
        static_cast<Sending *>(self)->parseHeader(std::string(data, size * n));
        return size * n;
    }

    void parseHeader(const std::string &line)
    {
        const auto value = [&](std::string_view name) {
            std::string text = line.substr(name.size());
            while (!text.empty() && (text.back() == '\r' || text.back() == '\n'))
                text.pop_back();
            return text;
        };
        if (line.rfind("Fordwood-Reason: ", 0) == 0)
            m_record.reason = value("Fordwood-Reason: ");
        if (line.rfind("Fordwood-Verdict: ", 0) == 0)
            m_record.verdict = value("Fordwood-Verdict: ");
    }

    static std::size_t onBody(char *data, std::size_t size, std::size_t n, void *self)
    {
        static_cast<Sending *>(self)->takeBody(std::string_view(data, size * n));
        return size * n;
    }

    void takeBody(std::string_view bytes)
    {
        m_lastByte = SteadyClock::now();
        if (m_answer.empty())
            m_firstByte = m_lastByte;
        for (std::size_t it = bytes.find("data: "); it != std::string_view::npos;
             it = bytes.find("data: ", it + 1))
            ++m_events;
        m_answer.append(bytes);
    }

    CallerOutcome judge(CURLcode ec)
    {
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        if (status == 0)
            return CallerOutcome::Lost;
        if (status != 200)
            return m_record.reason.empty() ? CallerOutcome::Truncated : CallerOutcome::Refused;
        if (const std::size_t event = m_answer.find("event: error"); event != std::string::npos) {
            noteError(m_answer.substr(event));
            return CallerOutcome::Broken;
        }
        if (ec != CURLE_OK)
            return CallerOutcome::Truncated;
        if (m_kind.model.empty())
            return m_answer.find(m_record.id) == std::string::npos ? CallerOutcome::Crossed
                                                                   : CallerOutcome::Answered;
        const bool ended
            = m_answer.find("end") != std::string::npos
              && (!m_kind.stream || m_answer.find("data: [DONE]") != std::string::npos);
        if (!ended)
            return CallerOutcome::Truncated;
        return m_answer.find(m_expected) == std::string::npos ? CallerOutcome::Crossed
                                                              : CallerOutcome::Answered;
    }

    void noteError(const std::string &event)
    {
        const std::size_t begin = event.find('{');
        const Json json = Json::parse(event.substr(std::min(begin, event.size())), nullptr, false);
        if (json.is_object() && json.contains("error"))
            m_record.reason = json["error"].value("code", "");
    }

    const ConversationKind &m_kind;
    SteadyClock::time_point m_intended;
    RequestRecord &m_record;
    CURL *m_easy;
    curl_slist *m_headers = nullptr;
    std::string m_body;
    std::string m_expected;
    std::string m_answer;
    int m_events = 0;
    SteadyClock::time_point m_firstByte{};
    SteadyClock::time_point m_lastByte{};
};

// One thread's part of the plan.
class Worker
{
public:
    Worker(const Workload &workload, const std::vector<PlannedRequest> &plan,
           std::vector<RequestRecord> &records, SteadyClock::time_point begin)
        : m_workload(workload), m_plan(plan), m_records(records), m_begin(begin),
          m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 4096L);
    }
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;
    ~Worker() { curl_multi_cleanup(m_multi); }

    void run(std::size_t first, std::size_t step)
    {
        std::size_t next = first;
        while (next < m_plan.size() || !m_sending.empty()) {
            while (next < m_plan.size() && m_begin + m_plan[next].at <= SteadyClock::now()) {
                send(next);
                next += step;
            }
            int running = 0;
            curl_multi_perform(m_multi, &running);
            takeResults();
            curl_multi_poll(m_multi, nullptr, 0, pollMs(next), nullptr);
        }
    }

private:
    int pollMs(std::size_t next) const
    {
        constexpr int kMost = 100;
        if (next >= m_plan.size())
            return kMost;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_begin + m_plan[next].at - SteadyClock::now());
        return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, kMost));
    }

    void send(std::size_t number)
    {
        auto sending = std::make_unique<Sending>(m_workload, m_plan[number], number,
                                                 m_begin + m_plan[number].at, m_records[number]);
        curl_multi_add_handle(m_multi, sending->easy());
        CURL *easy = sending->easy();
        m_sending.emplace(easy, std::move(sending));
    }

    void takeResults()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const auto it = m_sending.find(message->easy_handle);
            it->second->finish(message->data.result);
            curl_multi_remove_handle(m_multi, message->easy_handle);
            m_sending.erase(it);
        }
    }

    const Workload &m_workload;
    const std::vector<PlannedRequest> &m_plan;
    std::vector<RequestRecord> &m_records;
    SteadyClock::time_point m_begin;
    CURLM *m_multi;
    std::map<CURL *, std::unique_ptr<Sending>> m_sending;
};

Json readJson(const std::string &url)
{
    const auto text = adapters::httpGet(url, kStatsTimeout);
    return text ? Json::parse(text->body, nullptr, false) : Json();
}

} // namespace

std::vector<RequestRecord> runPlan(const Workload &workload,
                                   const std::vector<PlannedRequest> &plan, unsigned threads)
{
    // Many open streams need many sockets.
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);

    std::vector<RequestRecord> records(plan.size());
    const auto begin = SteadyClock::now();
    std::vector<std::thread> workers;
    for (unsigned it = 0; it < threads; ++it) {
        workers.emplace_back([&, it] { Worker(workload, plan, records, begin).run(it, threads); });
    }
    for (std::thread &it : workers)
        it.join();
    return records;
}

// Adds the retries that an entry node has counted so far.
static void readRetries(const std::string &target, std::map<std::string, double> &retries)
{
    const auto text = adapters::httpGet("http://" + target + "/metrics", kStatsTimeout);
    std::istringstream lines(text ? text->body : "");
    std::string line;
    constexpr std::string_view kName = "fordwood_retries_total{reason=\"";
    while (std::getline(lines, line)) {
        if (line.rfind(kName, 0) != 0)
            continue;
        const std::size_t end = line.find('"', kName.size());
        const double n = std::strtod(line.substr(line.rfind(' ')).c_str(), nullptr);
        if (n > 0)
            retries[line.substr(kName.size(), end - kName.size())] += n;
    }
}

StandinCounts readStandins(const Workload &workload)
{
    StandinCounts counts;
    for (const std::string &it : workload.targets)
        readRetries(it, counts.retries);
    for (const std::string &it : workload.engines) {
        const Json stats = readJson("http://" + it + "/stats");
        if (!stats.is_object())
            continue;
        counts.promptTokens += stats.value("prompt_tokens", 0.0);
        counts.uncachedTokens += stats.value("uncached_tokens", 0.0);
        counts.cancelled += stats.value("cancelled", 0.0);
    }
    for (const std::string &it : workload.services) {
        const Json runs = readJson("http://" + it + "/runs");
        if (runs.is_object())
            counts.doubledRuns += static_cast<double>(runs["doubled"].size());
    }
    for (const std::string &it : workload.stores) {
        const Json usage = readJson("http://" + it + "/usage");
        if (usage.is_object())
            counts.linkBytes += usage.value("link_bytes", 0.0);
    }
    return counts;
}

} // namespace fordwood::apps
