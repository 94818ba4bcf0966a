// SPDX-License-Identifier: MIT
#include "config/schema.hpp"

#include <algorithm>
#include <numeric>
#include <sstream>
#include <vector>

namespace fordwood::config {

namespace {

using enum FieldType;

constexpr double kNoBound = 1e15;

constexpr Field kLimits[] = {
    {"default_deadline", Span, false, 0.001, 86400, "60s",
     "Time that a request gets when its caller names none."},
    {"max_deadline", Span, false, 0.001, 86400, "10m", "Longest time that a caller may ask for."},
    {"permit_life", Span, false, 0.01, 2, "2s",
     "Time within which a granted request must be sent."},
    {"queue_per_team", Integer, false, 1, 100000, "256",
     "Requests of one team that may wait for one upstream."},
    {"max_loads_at_once", Integer, false, 1, 1000, "2",
     "Engines that may load weights at the same time."},
    {"retry_ratio", Number, false, 0, 1, "0.1", "Retries earned by one first send."},
};
constexpr Field kFailureDomain[] = {
    {"name", Text, true, 0, 0, "", "Name of the failure domain."},
    {"region", Text, true, 0, 0, "", "Region that it lies in."},
};
constexpr Field kTeam[] = {
    {"name", Text, true, 0, 0, "", "Name of the team."},
    {"share", Number, false, 1e-6, 1e6, "1.0", "Weight in fair queueing."},
    {"priority", Integer, false, -100, 100, "0", "Priority of requests that name none."},
    {"key_sha256", DigestList, true, 0, 0, "",
     "SHA-256 digests of the team's bearer keys, 64 hexadecimal digits each."},
    {"max_running", Integer, false, 0, 1e6, "0",
     "Requests running at once over the fleet; 0: no ceiling."},
};
constexpr Field kModel[] = {
    {"name", Text, true, 0, 0, "", "Name by which callers ask for the model."},
    {"weight_version", Text, true, 0, 0, "", "Weight version that new requests run on."},
};
constexpr Field kUpstream[] = {
    {"name", Text, true, 0, 0, "", "Name of the upstream."},
    {"kind", Text, true, 0, 0, "", "`engine` or `service`."},
    {"failure_domain", Text, true, 0, 0, "", "Failure domain that it runs in."},
    {"address", Address, true, 0, 0, "", "IP address and port."},
    {"models", TextList, false, 0, 0, "[]", "Models that an engine serves."},
    {"service", Text, false, 0, 0, "", "Name of the plain service that it is part of."},
    {"slots", Integer, true, 1, 100000, "", "Requests that it runs at once."},
    {"prefill_tokens_per_second", Number, false, 1, 1e9, "10000",
     "Rate at which an engine computes uncached prompt tokens."},
    {"cache_tokens", Integer, false, 0, 1e9, "100000",
     "Tokens of context that an engine keeps in memory, about."},
    {"checks_fences", Flag, false, 0, 0, "false", "Whether it refuses orders with an old fence."},
    {"refuses_when_full", Flag, false, 0, 0, "false",
     "Whether it answers `X-Request-Not-Run: true` at once when it has no free slot; such "
     "upstreams "
     "are sent to without a permit while there is no contention."},
    {"resumes", Flag, false, 0, 0, "false",
     "Whether it continues a stream that broke at another engine: it must leave out as many events "
     "as the header `X-Resume-From` says."},
    {"leaving", Flag, false, 0, 0, "false", "Whether it must get no new work."},
};
constexpr Field kRoute[] = {
    {"path", Text, true, 0, 0, "", "Path prefix, beginning with `/`."},
    {"service", Text, true, 0, 0, "", "Plain service that takes its requests."},
    {"repeatable", Flag, false, 0, 0, "false", "Whether a request may be run more than once."},
};
constexpr Field kStore[] = {
    {"name", Text, true, 0, 0, "", "Name of the store VM."},
    {"failure_domain", Text, true, 0, 0, "", "Failure domain that it runs in."},
    {"address", Address, true, 0, 0, "", "IP address and port."},
    {"memory_bytes", Integer, true, 0, kNoBound, "", "Memory for kept context, in bytes."},
    {"disk_bytes", Integer, false, 0, kNoBound, "0", "Disk for kept context, in bytes."},
    {"link_bytes_per_second", Number, true, 1, kNoBound, "",
     "Rate of the link to it, in bytes a second."},
};
constexpr Section kConfiguration[] = {
    {"limits", false, kLimits, "Limits that hold for the whole fleet."},
    {"failure_domain", true, kFailureDomain, "One entry for each failure domain."},
    {"team", true, kTeam, "One entry for each team."},
    {"model", true, kModel, "One entry for each model in service."},
    {"upstream", true, kUpstream, "One entry for each upstream."},
    {"route", true, kRoute, "One entry for each path of a plain service."},
    {"store", true, kStore, "One entry for each store VM."},
};

constexpr Field kNode[] = {
    {"name", Text, true, 0, 0, "", "Name of this entry VM, as in the platform's VM list."},
    {"failure_domain", Text, true, 0, 0, "", "Failure domain that it runs in."},
    {"region", Text, true, 0, 0, "", "Region that it runs in."},
};
constexpr Field kEntry[] = {
    {"listen", Address, true, 0, 0, "", "Address for callers."},
    {"http_threads", Integer, false, 1, 64, "2", "Threads that serve callers' connections."},
    {"max_body_bytes", Integer, false, 1, 1e9, "4194304", "Largest request body."},
    {"max_header_bytes", Integer, false, 1024, 1e6, "16384",
     "Memory of one connection for the request's head."},
    {"max_connections", Integer, false, 1, 1e6, "4096", "Connections held at once."},
    {"max_in_flight", Integer, false, 1, 1e6, "2048", "Requests served at once."},
    {"read_timeout", Span, false, 0.05, 3600, "30s",
     "Time for a request to arrive whole, and for an idle connection."},
    {"answer_buffer_bytes", Integer, false, 1024, 1e8, "262144",
     "Bytes of one answer held for a slow caller."},
    {"owner_timeout", Span, false, 0.001, 60, "500ms",
     "Time after which a silent owner is passed over."},
    {"stop_notice", Span, false, 0, 3600, "2s",
     "Time between being unready and refusing new requests in a planned stop."},
    {"stop_timeout", Span, false, 0, 86400, "0s",
     "Longest planned stop; 0: until every answer is finished."},
};
constexpr Field kControl[] = {
    {"listen", Address, true, 0, 0, "", "Address for other nodes and for entryd (gRPC)."},
    {"metrics_listen", Address, true, 0, 0, "", "Address of `/metrics` and `/healthz`."},
    {"seeds", TextList, false, 0, 0, "[]",
     "Addresses (`control.listen`) of other nodes, asked while the VM list is not known."},
};
constexpr Field kPlatform[] = {
    {"key_value", Address, true, 0, 0, "", "Address of the key-value service (etcd v3 gRPC)."},
    {"vm_list", Address, true, 0, 0, "", "Address of the VM list (HTTP)."},
    {"vm_list_period", Span, false, 0.05, 3600, "1s", "Time between two reads of the VM list."},
};
constexpr Field kLog[] = {
    {"format", Text, false, 0, 0, "text", "`text` (key=value) or `json`."},
};
constexpr Field kCallers[] = {
    {"listen", Address, true, 0, 0, "", "Address for callers."},
    {"ready_listen", Address, true, 0, 0, "",
     "Address at which the platform asks whether the node takes new connections."},
    {"max_connections", Integer, false, 1, 1e6, "2500",
     "Callers' connections held at once; further ones are closed."},
};
constexpr Field kPeers[] = {
    {"listen", Address, true, 0, 0, "",
     "Address at which peers read this node's copy of the platform's store."},
    {"gossip_listen", Address, true, 0, 0, "", "Address for short messages of peers (UDP)."},
    {"metrics_listen", Address, true, 0, 0, "", "Address of `/metrics`."},
    {"seeds", TextList, false, 0, 0, "[]",
     "`peers.listen` of other nodes, asked while the store does not answer."},
    {"gossip_every", Span, false, 0.01, 10, "200ms", "Time between two messages to each peer."},
};
constexpr Field kNodeStore[] = {
    {"address", Address, true, 0, 0, "", "Address of the platform's key-value store (HTTP)."},
    {"least_lease", Span, false, 0.1, 600, "1s", "Shortest lease that the store grants."},
};
constexpr Field kBounds[] = {
    {"stop_within", Span, false, 1, 3600, "8s",
     "Time that the platform gives a planned stop before it kills the process."},
    {"retry_ratio", Number, false, 0, 1, "0.2",
     "Repeated sends of the whole fleet for each request to a service."},
    {"retry_window", Span, false, 1, 3600, "10s", "Time over which repeated sends are counted."},
    {"retry_slack", Number, false, 0, 1e6, "50",
     "Repeated sends of the whole fleet in each window, beyond the ratio."},
    {"order_lease", Span, false, 0.1, 600, "3s",
     "Lease of the node that orders engines to load weights; a successor waits as long."},
    {"fences_checked", Flag, false, 0, 0, "false",
     "Whether engines turn away orders with a lower fence than one they have seen."},
    {"weights_within", Span, false, 1, 3600, "12s",
     "Time after which no request may begin on weights older than those that were named."},
    {"cold_overshoot", Number, false, 1, 1000, "1",
     "What a cold upstream bears in any one second, in its service's stated rate."},
    {"cold_slack", Number, false, 0, 1e6, "0",
     "Requests that a cold upstream bears in any one second beyond that."},
};
constexpr Field kPlaces[] = {
    {"regions", TextList, false, 0, 0, "[]",
     "The region of each failure domain, as `domain=region`: requests and teams may be bound to "
     "regions. The node's own is known from `[node]`."},
};
constexpr Field kVm[] = {
    {"processor_share", Number, false, 0.001, 1024, "1",
     "Cores, or the part of one, that the node may use."},
    {"processor_speed", Number, false, 0.001, 1024, "1",
     "How fast such a core is, compared with others."},
    {"link_mbps", Number, false, 0.001, 1e6, "1000", "What the VM's link carries, in Mbit/s."},
};
constexpr Field kMechanisms[] = {
    {"context_stores", Flag, false, 0, 0, "true",
     "Context is saved to stores of kept context and fetched from them."},
    {"small_first_parts", Flag, false, 0, 0, "true", "Small parts of long contexts are saved too."},
    {"computing_instead", Flag, false, 0, 0, "true",
     "Context is computed where its store has too much to send."},
    {"read_again_weight", Flag, false, 0, 0, "true",
     "Context that an engine has is computed elsewhere only where that is four times cheaper."},
    {"told_contexts", Flag, false, 0, 0, "true",
     "Nodes use what peers tell of engines that got long contexts."},
    {"short_engines", Flag, false, 0, 0, "false", "Engines are set apart for short prompts."},
    {"short_first", Flag, false, 0, 0, "true",
     "Short prompts go before long ones at every engine."},
    {"early_refusals", Flag, false, 0, 0, "true",
     "Long prompts that would be late are refused at once."},
    {"relays", Flag, false, 0, 0, "true",
     "In a large fleet two nodes of each failure domain follow the stores for the others."},
    {"passing_on", Flag, false, 0, 0, "true",
     "In a large fleet messages between nodes cross to each failure domain once."},
    {"few_candidates", Flag, false, 0, 0, "true",
     "In a large fleet a node considers a random part of the engines for each request."},
    {"load_sums", Flag, false, 0, 0, "true",
     "In a large fleet relays sum up what the nodes have sent to upstreams."},
};
constexpr Section kNodeSettings[] = {
    {"node", false, kNode, "Who this VM is."},
    {"callers", false, kCallers, "Where callers are served."},
    {"peers", false, kPeers, "What passes between nodes."},
    {"store", false, kNodeStore, "Where the platform's store is."},
    {"bounds", false, kBounds, "What the platform's rules bound."},
    {"places", false, kPlaces, "Where the failure domains are."},
    {"vm", false, kVm, "How strong the VM is: the strongest nodes work for the others."},
    {"mechanisms", false, kMechanisms,
     "Parts of the decisions, to be switched off one by one where their worth is measured."},
    {"log", false, kLog, "How events are written."},
};
constexpr Section kEntrySettings[] = {
    {"node", false, kNode, "Who this VM is."},
    {"entry", false, kEntry, "Read by `fordwood-entryd`."},
    {"control", false, kControl,
     "Read by `fordwood-controld`, and by `fordwood-entryd` to find it."},
    {"platform", false, kPlatform, "Where the platform's services are."},
    {"log", false, kLog, "How events are written."},
};

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t above = row[j];
            const std::size_t change = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({above + 1, row[j - 1] + 1, change});
            diagonal = above;
        }
    }
    return row.back();
}

std::string boundsText(const Field &field)
{
    if (field.type != Integer && field.type != Number && field.type != Span)
        return "";
    std::ostringstream out;
    out.precision(15);
    const char *unit = field.type == Span ? " s" : "";
    out << field.min << unit << " to " << field.max << unit;
    return out.str();
}

} // namespace

std::span<const Section> configurationSections()
{
    return kConfiguration;
}

std::span<const Section> entrySettingsSections()
{
    return kEntrySettings;
}

std::span<const Section> nodeSettingsSections()
{
    return kNodeSettings;
}

std::string referencePage(std::span<const Section> sections, std::string_view title,
                          std::string_view intro)
{
    std::ostringstream out;
    out << "# " << title << "\n\n" << intro << "\n\n**Contents**\n\n";
    for (const Section &section : sections)
        out << "- [" << section.name << "](#" << section.name << ")\n";
    for (const Section &section : sections) {
        out << "\n## " << section.name << "\n\n"
            << section.description << " Written as `" << (section.isArray ? "[[" : "[")
            << section.name << (section.isArray ? "]]" : "]") << "`.\n\n"
            << "| key | type | default | bounds | meaning |\n|---|---|---|---|---|\n";
        for (const Field &field : section.fields) {
            out << "| `" << field.name << "` | " << typeName(field.type) << " | "
                << (field.required ? "required" : field.defaultValue) << " | " << boundsText(field)
                << " | " << field.description << " |\n";
        }
    }
    return out.str();
}

std::string_view typeName(FieldType type)
{
    switch (type) {
    case Text:
        return "text";
    case Address:
        return "IP:port";
    case Integer:
        return "whole number";
    case Number:
        return "number";
    case Flag:
        return "true or false";
    case Span:
        return "time span such as \"250ms\", \"2s\", \"5m\" or \"1h\"";
    case TextList:
        return "list of texts";
    case DigestList:
        return "list of SHA-256 digests";
    }
    return "";
}

std::string closestMatch(std::string_view word, std::span<const std::string_view> candidates)
{
    std::string_view closest;
    std::size_t minDistance = std::max<std::size_t>(2, word.size() / 2) + 1;
    for (const std::string_view it : candidates) {
        const std::size_t distance = editDistance(word, it);
        if (distance < minDistance) {
            minDistance = distance;
            closest = it;
        }
    }
    return std::string(closest);
}

} // namespace fordwood::config
