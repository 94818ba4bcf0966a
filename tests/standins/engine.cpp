// SPDX-License-Identifier: MIT
// Stand-in for a model engine: OpenAI-style completions with a prefill rate in tokens per second, a
// limited number of slots, a limited prefix cache, priorities, cancellation and resumption, export
// and import of context, fenced orders for weights, delayed cache events and delayed load reports.
//
// The answer begins with the hash of the prompt, so that a caller can recognize its own answer, and
// ends with "end", so that it can recognize a complete one. A token is four bytes of text.
//
// POST /v1/chat/completions, /v1/completions (headers X-Weight-Version, X-Priority, X-Resume-From)
// GET /load, /events?since=N, /stats; GET /kv?salt=S&blocks=N, PUT /kv; POST /orders {"fence",
// "version"}; PUT /faults {"cut_after_tokens": n, "end_in_event": n, "hang": bool, "slow": factor,
// "refuse": n}. With end_in_event, a stream that is not a resumed one ends in the middle of the
// event after n tokens, as if it were whole. Usage: standin-engine ADDRESS [key=value ...] with
// slots, queue, prefill_rate, token_ms, cache_blocks, model, version, load_ms, checks_fences,
// load_lag_ms, event_lag_ms
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <list>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "fordwood/rendezvous.hpp"
#include "standins/blocking_server.hpp"

namespace {

using namespace fordwood::standins;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kTokenBytes = 4;
constexpr std::size_t kBlockTokens = 64;
constexpr std::size_t kBlockBytes = kBlockTokens * kTokenBytes;

struct EngineOptions
{
    std::size_t slots = 8;
    std::size_t queue = 64;
    double prefillRate = 10'000;
    double tokenMs = 2;
    std::size_t cacheBlocks = 4096;
    std::string version = "v1";
    std::string model = "m";
    int loadMs = 1000;
    bool checksFences = true;
    int loadLagMs = 200;
    int eventLagMs = 500;
};

// The chained hashes of the blocks of a prompt.
std::vector<std::uint64_t> blockHashes(const std::string &salt, const std::string &prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t chain = fordwood::stableHash(salt);
    for (std::size_t it = 0; it + kBlockBytes <= prompt.size(); it += kBlockBytes) {
        chain = fordwood::stableHash(std::string_view(prompt).substr(it, kBlockBytes), chain);
        hashes.push_back(chain);
    }
    return hashes;
}

// A set of blocks of limited size that evicts the least recently used block first.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t most) : m_most(most) { }

    // The number of leading blocks that are cached; marks them as used.
    std::size_t match(const std::vector<std::uint64_t> &hashes)
    {
        std::size_t n = 0;
        for (const std::uint64_t it : hashes) {
            const auto known = m_places.find(it);
            if (known == m_places.end())
                break;
            m_order.splice(m_order.begin(), m_order, known->second);
            ++n;
        }
        return n;
    }

    void insert(const std::vector<std::uint64_t> &hashes, std::vector<std::uint64_t> &evicted)
    {
        for (const std::uint64_t it : hashes) {
            if (m_places.count(it) != 0)
                continue;
            m_order.push_front(it);
            m_places[it] = m_order.begin();
        }
        while (m_places.size() > m_most) {
            evicted.push_back(m_order.back());
            m_places.erase(m_order.back());
            m_order.pop_back();
        }
    }

    void clear()
    {
        m_order.clear();
        m_places.clear();
    }

private:
    std::size_t m_most;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

class Engine
{
public:
    explicit Engine(EngineOptions options)
        : m_options(std::move(options)), m_cache(m_options.cacheBlocks),
          m_version(m_options.version)
    { }

    Answer answer(const Request &request)
    {
        if (request.path == "/v1/chat/completions" || request.path == "/v1/completions")
            return complete(request);
        if (request.path == "/load")
            return load();
        if (request.path == "/stats")
            return stats();
        if (request.path == "/events")
            return events();
        if (request.path == "/kv")
            return request.method == "PUT" ? importContext(request) : exportContext(request);
        if (request.path == "/orders")
            return order(request);
        if (request.path == "/faults")
            return setFaults(request);
        return status(404, "");
    }

private:
    struct Run
    {
        std::string id;
        std::uint64_t promptHash = 0;
        std::size_t tokens = 0;
        std::size_t next = 0;
        std::size_t uncached = 0;
        bool chat = false;
        bool stream = false;
        bool isResumed = false;
        bool hasEndedInEvent = false;
    };

    static Answer status(int code, const std::string &text)
    {
        Answer result;
        result.status = code;
        result.body = Json{{"error", {{"message", text}}}}.dump();
        return result;
    }

    static Answer notRun(int code, const std::string &text)
    {
        Answer result = status(code, text);
        result.headers["X-Request-Not-Run"] = "true";
        return result;
    }

    static std::string promptOf(const Json &body, bool chat)
    {
        if (!chat)
            return body.value("prompt", "");
        std::string prompt;
        for (const Json &it : body["messages"])
            prompt += it.value("role", "") + ":" + it["content"].dump() + "\n";
        return prompt;
    }

    Answer complete(const Request &request)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        const bool chat = request.path == "/v1/chat/completions";
        if (!body.is_object() || (chat && !body.contains("messages")))
            return status(400, "bad body");
        const std::string wanted = request.header("X-Weight-Version");
        const int priority = std::atoi(request.header("X-Priority").c_str());
        auto run = std::make_shared<Run>();
        std::vector<std::uint64_t> hashes;
        {
            std::unique_lock lock(m_mutex);
            if (m_refuse > 0) {
                --m_refuse;
                return notRun(503, "refused");
            }
            if (!wanted.empty() && (wanted != m_version || m_loading)) {
                Answer result = notRun(409, "serves version " + m_version);
                result.headers["X-Version-Mismatch"] = "true";
                return result;
            }
            if (m_running >= m_options.slots && m_waiting.size() >= m_options.queue)
                return notRun(503, "queue full");
            enterSlot(lock, priority);
            const std::string prompt = promptOf(body, chat);
            hashes = blockHashes(body.value("cache_salt", ""), prompt);
            const std::size_t cached = m_cache.match(hashes) * kBlockTokens;
            run->uncached = std::max<std::size_t>(1, prompt.size() / kTokenBytes) - cached;
            m_promptTokens += run->uncached + cached;
            m_uncachedTokens += run->uncached;
            ++m_runs[request.header("X-Request-Id")];
            run->promptHash = fordwood::stableHash(prompt);
        }
        run->id = request.header("X-Request-Id");
        run->tokens = body.value("max_tokens", std::size_t{16});
        run->next = static_cast<std::size_t>(std::atoi(request.header("X-Resume-From").c_str()));
        run->isResumed = run->next > 0;
        run->chat = chat;
        run->stream = body.value("stream", false);
        prefill(*run, hashes);
        return run->stream ? streamed(run) : whole(*run);
    }

    // Waits for a slot. Higher priority goes first, then the earlier request.
    void enterSlot(std::unique_lock<std::mutex> &lock, int priority)
    {
        const auto place = m_waiting.emplace(-priority, m_sequence++).first;
        const std::pair<int, std::uint64_t> self = *place;
        m_slotFree.wait(lock,
                        [&] { return m_running < m_options.slots && *m_waiting.begin() == self; });
        m_waiting.erase(self);
        ++m_running;
        m_slotFree.notify_all();
    }

    void leaveSlot()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_slotFree.notify_all();
    }

    void prefill(const Run &run, const std::vector<std::uint64_t> &hashes)
    {
        SteadyClock::time_point done;
        {
            const std::lock_guard lock(m_mutex);
            const auto time = std::chrono::duration<double>(static_cast<double>(run.uncached)
                                                            * m_slow / m_options.prefillRate);
            m_prefillFree = std::max(m_prefillFree, SteadyClock::now())
                            + std::chrono::duration_cast<SteadyClock::duration>(time);
            done = m_prefillFree;
        }
        std::this_thread::sleep_until(done);
        const std::lock_guard lock(m_mutex);
        std::vector<std::uint64_t> evicted;
        m_cache.insert(hashes, evicted);
        for (const std::uint64_t it : evicted)
            m_events.emplace_back(SteadyClock::now(), it);
        while (m_events.size() > 1000)
            m_events.pop_front(); // leaves a gap, as real engines do
    }

    void decodeOne()
    {
        double factor = 1;
        bool hang = true;
        while (hang) {
            {
                const std::lock_guard lock(m_mutex);
                factor = m_slow;
                hang = m_hang;
            }
            if (hang)
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        std::this_thread::sleep_for(
            std::chrono::duration<double, std::milli>(m_options.tokenMs * factor));
    }

    static std::string tokenText(const Run &run, std::size_t n)
    {
        if (n == 0)
            return std::to_string(run.promptHash) + " ";
        return n + 1 == run.tokens ? "end" : "w" + std::to_string(n) + " ";
    }

    std::string cost(const Run &run) const { return std::to_string(run.uncached + run.tokens); }

    Answer whole(Run &run)
    {
        std::string text;
        for (; run.next < run.tokens; ++run.next) {
            decodeOne();
            text += tokenText(run, run.next);
        }
        leaveSlot();
        Answer result;
        const Json choice = run.chat
                                ? Json{{"index", 0},
                                       {"message", {{"role", "assistant"}, {"content", text}}},
                                       {"finish_reason", "length"}}
                                : Json{{"index", 0}, {"text", text}, {"finish_reason", "length"}};
        result.body = Json{{"choices", Json::array({choice})},
                           {"usage",
                            {{"uncached_tokens", run.uncached}, {"completion_tokens", run.tokens}}}}
                          .dump();
        result.headers["X-Used-Tokens"] = cost(run);
        return result;
    }

    Answer streamed(const std::shared_ptr<Run> &run)
    {
        Answer result;
        result.contentType = "text/event-stream";
        result.headers["X-Used-Tokens"] = cost(*run);
        {
            const std::lock_guard lock(m_mutex);
            result.cutAfterParts = m_cutAfterTokens > 0;
        }
        const bool cut = result.cutAfterParts;
        result.nextPart
            = [this, run, cut](bool isClientGone) { return nextEvent(*run, cut, isClientGone); };
        return result;
    }

    std::string nextEvent(Run &run, bool cut, bool isClientGone)
    {
        if (isClientGone) {
            leaveSlot();
            const std::lock_guard lock(m_mutex);
            ++m_cancelled;
            return "";
        }
        const bool ended = run.next > run.tokens;
        if (ended || run.hasEndedInEvent || (cut && run.next >= cutAfter())) {
            leaveSlot();
            return "";
        }
        if (run.next == run.tokens) {
            ++run.next;
            return "data: [DONE]\n\n";
        }
        decodeOne();
        const std::string text = tokenText(run, run.next++);
        const Json choice = run.chat ? Json{{"index", 0}, {"delta", {{"content", text}}}}
                                     : Json{{"index", 0}, {"text", text}};
        Json event{{"choices", Json::array({choice})}};
        if (run.next == run.tokens)
            event["usage"] = {{"uncached_tokens", run.uncached}, {"completion_tokens", run.tokens}};
        const std::string whole = "data: " + event.dump() + "\n\n";
        run.hasEndedInEvent = !run.isResumed && run.next == endInEvent() + 1;
        return run.hasEndedInEvent ? whole.substr(0, whole.size() / 2) : whole;
    }

    // The number of tokens after which a stream ends in the middle of an event; too large: none.
    std::size_t endInEvent()
    {
        const std::lock_guard lock(m_mutex);
        return m_endInEvent > 0 ? m_endInEvent : SIZE_MAX - 1;
    }

    std::size_t cutAfter()
    {
        const std::lock_guard lock(m_mutex);
        return m_cutAfterTokens;
    }

    // The load, delayed by the configured lag.
    Answer load()
    {
        // The weight version is current, the load is delayed.
        const std::lock_guard lock(m_mutex);
        const auto now = SteadyClock::now();
        const Json present{{"running", m_running}, {"waiting", m_waiting.size()}};
        m_loads.emplace_back(now, present.dump());
        const auto limit = now - std::chrono::milliseconds(m_options.loadLagMs);
        while (m_loads.size() > 1 && m_loads[1].first <= limit)
            m_loads.pop_front();
        Answer result;
        Json told = Json::parse(m_loads.front().second);
        told["versions"] = {{m_options.model, m_version}};
        told["loading"] = m_loading;
        result.body = told.dump();
        return result;
    }

    Answer stats()
    {
        const std::lock_guard lock(m_mutex);
        std::size_t doubled = 0;
        std::size_t total = 0;
        for (const auto &[id, n] : m_runs) {
            total += n;
            doubled += n > 1 ? 1 : 0;
        }
        Answer result;
        result.body = Json{
            {"runs", total},
            {"doubled", doubled},
            {"cancelled", m_cancelled},
            {"prompt_tokens", m_promptTokens},
            {"uncached_tokens", m_uncachedTokens},
            {"running", m_running},
            {"overlapping_orders", m_overlappingOrders},
            {"version",
             m_version}}.dump();
        return result;
    }

    Answer events()
    {
        const std::lock_guard lock(m_mutex);
        const auto limit = SteadyClock::now() - std::chrono::milliseconds(m_options.eventLagMs);
        Json list = Json::array();
        for (const auto &[time, hash] : m_events) {
            if (time <= limit)
                list.push_back({{"evicted", hash}});
        }
        Answer result;
        result.body = list.dump();
        return result;
    }

    // Exports context. The prompt's text stands in for the context, so a block consists of its
    // text.
    Answer exportContext(const Request &request)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return status(400, "expected {\"salt\", \"prompt\"}");
        const auto hashes = blockHashes(body.value("salt", ""), body.value("prompt", ""));
        const std::lock_guard lock(m_mutex);
        Answer result;
        result.body = Json{{"blocks", m_cache.match(hashes)}, {"version", m_version}}.dump();
        return result;
    }

    Answer importContext(const Request &request)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return status(400, "expected {\"salt\", \"prompt\", \"version\"}");
        const std::lock_guard lock(m_mutex);
        if (body.value("version", "") != m_version)
            return status(409, "serves version " + m_version);
        std::vector<std::uint64_t> evicted;
        m_cache.insert(blockHashes(body.value("salt", ""), body.value("prompt", "")), evicted);
        return {};
    }

    Answer order(const Request &request)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return status(400, "expected {\"fence\", \"version\"}");
        {
            const std::lock_guard lock(m_mutex);
            const std::int64_t fence = body.value("fence", std::int64_t{0});
            if (m_options.checksFences && fence < m_fence)
                return status(409, "fence " + std::to_string(m_fence) + " was seen");
            if (m_loading)
                ++m_overlappingOrders;
            m_fence = std::max(m_fence, fence);
            m_loading = true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_options.loadMs));
        const std::lock_guard lock(m_mutex);
        m_version = body.value("version", m_version);
        m_loading = false;
        m_cache.clear();
        return {};
    }

    Answer setFaults(const Request &request)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return status(400, "expected an object");
        const std::lock_guard lock(m_mutex);
        m_cutAfterTokens = body.value("cut_after_tokens", m_cutAfterTokens);
        m_endInEvent = body.value("end_in_event", m_endInEvent);
        m_hang = body.value("hang", m_hang);
        m_slow = body.value("slow", m_slow);
        m_refuse = body.value("refuse", m_refuse);
        return {};
    }

    const EngineOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    std::set<std::pair<int, std::uint64_t>> m_waiting;
    std::uint64_t m_sequence = 0;
    std::size_t m_running = 0;
    PrefixCache m_cache;
    std::string m_version;
    bool m_loading = false;
    std::size_t m_overlappingOrders = 0;
    std::int64_t m_fence = 0;
    SteadyClock::time_point m_prefillFree{};
    std::map<std::string, std::size_t> m_runs;
    std::deque<std::pair<SteadyClock::time_point, std::string>> m_loads;
    std::deque<std::pair<SteadyClock::time_point, std::uint64_t>> m_events;
    std::size_t m_promptTokens = 0;
    std::size_t m_uncachedTokens = 0;
    std::size_t m_cancelled = 0;
    std::size_t m_cutAfterTokens = 0;
    std::size_t m_endInEvent = 0;
    std::size_t m_refuse = 0;
    double m_slow = 1;
    bool m_hang = false;
};

bool setOption(EngineOptions &options, const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos)
        return false;
    const std::string key = text.substr(0, equals);
    const std::string value = text.substr(equals + 1);
    const double number = std::strtod(value.c_str(), nullptr);
    if (key == "slots")
        options.slots = static_cast<std::size_t>(number);
    else if (key == "queue")
        options.queue = static_cast<std::size_t>(number);
    else if (key == "prefill_rate")
        options.prefillRate = number;
    else if (key == "token_ms")
        options.tokenMs = number;
    else if (key == "cache_blocks")
        options.cacheBlocks = static_cast<std::size_t>(number);
    else if (key == "version")
        options.version = value;
    else if (key == "model")
        options.model = value;
    else if (key == "load_ms")
        options.loadMs = static_cast<int>(number);
    else if (key == "checks_fences")
        options.checksFences = value == "true";
    else if (key == "load_lag_ms")
        options.loadLagMs = static_cast<int>(number);
    else if (key == "event_lag_ms")
        options.eventLagMs = static_cast<int>(number);
    else
        return false;
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    EngineOptions options;
    bool sound = argc >= 2;
    for (int it = 2; it < argc; ++it)
        sound = setOption(options, argv[it]) && sound;
    if (!sound) {
        std::cerr << "usage: standin-engine ADDRESS [key=value ...]\n";
        return 2;
    }
    blockSignals();
    Engine engine(options);
    const BlockingServer http(argv[1],
                              [&](const Request &request) { return engine.answer(request); });
    if (!http.listening()) {
        std::cerr << "standin-engine: cannot listen on " << argv[1] << "\n";
        return 1;
    }
    waitForSignal();
    return 0;
}
