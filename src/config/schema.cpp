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
     "Deadline of a request whose caller sets none."},
    {"max_deadline", Span, false, 0.001, 86400, "10m", "Longest deadline that a caller may set."},
    {"permit_life", Span, false, 0.01, 2, "2s",
     "Time within which a request must be sent after its permit was granted."},
    {"queue_per_team", Integer, false, 1, 100000, "256",
     "Maximum number of requests of one team that wait for one upstream."},
    {"max_loads_at_once", Integer, false, 1, 1000, "2",
     "Maximum number of engines that load weights at the same time."},
    {"retry_ratio", Number, false, 0, 1, "0.1", "Retries allowed for each first send."},
};
constexpr Field kFailureDomain[] = {
    {"name", Text, true, 0, 0, "", "Name of the failure domain."},
    {"region", Text, true, 0, 0, "", "Region of the failure domain."},
};
constexpr Field kTeam[] = {
    {"name", Text, true, 0, 0, "", "Name of the team."},
    {"share", Number, false, 1e-6, 1e6, "1.0", "Weight of the team in fair queueing."},
    {"priority", Integer, false, -100, 100, "0", "Priority of requests that set none."},
    {"key_sha256", DigestList, true, 0, 0, "",
     "SHA-256 digests of the team's bearer keys, 64 hexadecimal digits each."},
    {"max_running", Integer, false, 0, 1e6, "0",
     "Maximum number of requests that run at once in the whole fleet; 0: no limit."},
};
constexpr Field kModel[] = {
    {"name", Text, true, 0, 0, "", "Name of the model in callers' requests."},
    {"weight_version", Text, true, 0, 0, "", "Weight version that runs new requests."},
};
constexpr Field kUpstream[] = {
    {"name", Text, true, 0, 0, "", "Name of the upstream."},
    {"kind", Text, true, 0, 0, "", "`engine` or `service`."},
    {"failure_domain", Text, true, 0, 0, "", "Failure domain that it runs in."},
    {"address", Address, true, 0, 0, "", "IP address and port."},
    {"models", TextList, false, 0, 0, "[]", "Models that an engine serves."},
    {"service", Text, false, 0, 0, "", "Name of the plain service that it belongs to."},
    {"slots", Integer, true, 1, 100000, "", "Number of requests that it runs at once."},
    {"prefill_tokens_per_second", Number, false, 1, 1e9, "10000",
     "Rate at which an engine computes uncached prompt tokens."},
    {"cache_tokens", Integer, false, 0, 1e9, "100000",
     "Approximate number of context tokens that an engine keeps in memory."},
    {"checks_fences", Flag, false, 0, 0, "false",
     "Whether it rejects orders with an outdated fencing token."},
    {"refuses_when_full", Flag, false, 0, 0, "false",
     "Whether it answers `X-Request-Not-Run: true` at once when it has no free slot; requests to "
     "such upstreams "
     "need no permit while there is no contention."},
    {"resumes", Flag, false, 0, 0, "false",
     "Whether it can continue a stream that was interrupted at another engine: it must skip the "
     "number of events given in the header `X-Resume-From`."},
    {"leaving", Flag, false, 0, 0, "false", "Whether it must receive no new work."},
};
constexpr Field kRoute[] = {
    {"path", Text, true, 0, 0, "", "Path prefix that begins with `/`."},
    {"service", Text, true, 0, 0, "", "Plain service that receives the requests of this path."},
    {"repeatable", Flag, false, 0, 0, "false", "Whether a request may run more than once."},
};
constexpr Field kStore[] = {
    {"name", Text, true, 0, 0, "", "Name of the store VM."},
    {"failure_domain", Text, true, 0, 0, "", "Failure domain that it runs in."},
    {"address", Address, true, 0, 0, "", "IP address and port."},
    {"memory_bytes", Integer, true, 0, kNoBound, "", "Memory for stored context, in bytes."},
    {"disk_bytes", Integer, false, 0, kNoBound, "0", "Disk space for stored context, in bytes."},
    {"link_bytes_per_second", Number, true, 1, kNoBound, "",
     "Bandwidth of the link to the store, in bytes per second."},
};
constexpr Section kConfiguration[] = {
    {"limits", false, kLimits, "Limits for the whole fleet."},
    {"failure_domain", true, kFailureDomain, "One entry for each failure domain."},
    {"team", true, kTeam, "One entry for each team."},
    {"model", true, kModel, "One entry for each model that is served."},
    {"upstream", true, kUpstream, "One entry for each upstream."},
    {"route", true, kRoute, "One entry for each path of a plain service."},
    {"store", true, kStore, "One entry for each store VM."},
};

constexpr Field kNode[] = {
    {"name", Text, true, 0, 0, "", "Name of this entry VM in the platform's VM list."},
    {"failure_domain", Text, true, 0, 0, "", "Failure domain that it runs in."},
    {"region", Text, true, 0, 0, "", "Region that it runs in."},
};
constexpr Field kEntry[] = {
    {"listen", Address, true, 0, 0, "", "Address for callers."},
    {"http_threads", Integer, false, 1, 64, "2",
     "Number of threads that serve callers' connections."},
    {"max_body_bytes", Integer, false, 1, 1e9, "4194304",
     "Maximum size of a request body, in bytes."},
    {"max_incoming_bytes", Integer, false, 1, 1e12, "67108864",
     "Maximum size of all request bodies together that are being received, in bytes."},
    {"max_header_bytes", Integer, false, 1024, 1e6, "16384",
     "Memory per connection for the head of a request, in bytes."},
    {"max_connections", Integer, false, 1, 1e6, "4096", "Maximum number of open connections."},
    {"max_in_flight", Integer, false, 1, 1e6, "2048", "Maximum number of requests in progress."},
    {"read_timeout", Span, false, 0.05, 3600, "30s",
     "Time within which a whole request must arrive, and after which an idle connection closes."},
    {"answer_buffer_bytes", Integer, false, 1024, 1e8, "262144",
     "Maximum number of bytes of one answer that are buffered for a slow caller."},
    {"owner_timeout", Span, false, 0.001, 60, "500ms",
     "Time after which an owner that does not answer is bypassed."},
    {"stop_notice", Span, false, 0, 3600, "2s",
     "Time in a planned stop between reporting not ready and rejecting new requests."},
    {"stop_timeout", Span, false, 0, 86400, "0s",
     "Maximum duration of a planned stop; 0: until every answer is finished."},
};
constexpr Field kControl[] = {
    {"listen", Address, true, 0, 0, "", "Address for other nodes and for entryd (gRPC)."},
    {"metrics_listen", Address, true, 0, 0, "", "Address of `/metrics` and `/healthz`."},
    {"seeds", TextList, false, 0, 0, "[]",
     "Addresses (`control.listen`) of other nodes, used while the VM list is not known."},
};
constexpr Field kPlatform[] = {
    {"key_value", Address, true, 0, 0, "", "Address of the key-value service (etcd v3 gRPC)."},
    {"vm_list", Address, true, 0, 0, "", "Address of the VM list (HTTP)."},
    {"vm_list_period", Span, false, 0.05, 3600, "1s", "Interval between reads of the VM list."},
};
constexpr Field kLog[] = {
    {"format", Text, false, 0, 0, "text", "`text` (key=value) or `json`."},
};
constexpr Field kCallers[] = {
    {"listen", Address, true, 0, 0, "", "Address for callers."},
    {"ready_listen", Address, true, 0, 0, "",
     "Address at which the platform checks whether the node accepts new connections."},
    {"max_connections", Integer, false, 1, 1e6, "2500",
     "Maximum number of callers' connections; further ones are closed."},
    {"channel_buffer", Integer, false, 16384, 1e9, "65536",
     "Bytes of an answer that are held for a caller who reads slowly. Above that, the node stops "
     "reading from the upstream until the caller has read."},
    {"buffer_share", Number, false, 0.01, 0.9, "0.25",
     "Share of the VM's memory for the requests and answers of all callers. Above that, each "
     "answer is held up to 16 KB, and a larger request body is rejected with 503."},
    {"team_buffer_share", Number, false, 0.01, 1, "0.5",
     "Share of that memory that one team may use."},
    {"unread_timeout", Span, false, 0.1, 3600, "20s",
     "A connection is closed if its caller has read nothing of a waiting answer for this long."},
};
constexpr Field kPeers[] = {
    {"listen", Address, true, 0, 0, "",
     "Address at which peers read this node's replica of the platform's store."},
    {"gossip_listen", Address, true, 0, 0, "", "Address for gossip messages of peers (UDP)."},
    {"metrics_listen", Address, true, 0, 0, "", "Address of `/metrics`."},
    {"placement_listen", Address, false, 0, 0, "",
     "Address for messages of peers about placements and streams (UDP). Without it, the node does "
     "not schedule engines and chooses them itself, and does not learn where streams of other "
     "nodes began."},
    {"proxy_listen", Address, false, 0, 0, "",
     "Address at which peers that are cut off from upstreams ask this node for connections to "
     "them. Without it, the node neither opens connections for peers nor uses theirs."},
    {"seeds", TextList, false, 0, 0, "[]",
     "Addresses (`peers.listen`) of other nodes, used while the store does not answer."},
    {"gossip_every", Span, false, 0.01, 10, "200ms",
     "Interval between gossip messages to each peer."},
};
constexpr Field kNodeStore[] = {
    {"address", Address, true, 0, 0, "", "Address of the platform's key-value store (HTTP)."},
    {"least_lease", Span, false, 0.1, 600, "1s",
     "Shortest duration of a lease that the store grants."},
};
constexpr Field kBounds[] = {
    {"stop_within", Span, false, 1, 3600, "8s",
     "Time that the platform gives a planned stop before it kills the process."},
    {"retry_ratio", Number, false, 0, 1, "0.2",
     "Retries of the whole fleet for each request to a service."},
    {"retry_window", Span, false, 1, 3600, "10s", "Time window in which retries are counted."},
    {"retry_slack", Number, false, 0, 1e6, "50",
     "Retries of the whole fleet in each window that are allowed in addition to the ratio."},
    {"order_lease", Span, false, 0.1, 600, "3s",
     "Duration of the lease of the node that orders engines to load weights; its successor waits "
     "as "
     "long before it acts."},
    {"fences_checked", Flag, false, 0, 0, "false",
     "Whether engines reject orders whose fencing token is lower than one that they have seen."},
    {"weights_within", Span, false, 1, 3600, "12s",
     "Time after operators set a weight version within which requests may still start on older "
     "weights."},
    {"cold_overshoot", Number, false, 1, 1000, "1",
     "Requests that a cold upstream can take in any one second, as a multiple of its service's "
     "configured cold rate."},
    {"cold_slack", Number, false, 0, 1e6, "0",
     "Requests that a cold upstream can take in any one second in addition to that."},
};
constexpr Field kPlaces[] = {
    {"regions", TextList, false, 0, 0, "[]",
     "The region of each failure domain, as `domain=region`: requests and teams may be restricted "
     "to regions. The region of the node's own failure domain is taken from `[node]`."},
};
constexpr Field kVm[] = {
    {"processor_share", Number, false, 0.001, 1024, "1",
     "Number of cores, or fraction of one, that the node may use."},
    {"processor_speed", Number, false, 0.001, 1024, "1",
     "Speed of one core, relative to other VMs."},
    {"link_mbps", Number, false, 0.001, 1e6, "1000",
     "Bandwidth of the VM's network link, in Mbit/s."},
    {"memory_mb", Number, false, 1, 1e7, "256", "Memory that the node may use, in MB."},
};
constexpr Field kMechanisms[] = {
    {"context_stores", Flag, false, 0, 0, "true",
     "Engines save context to context stores and fetch it from them."},
    {"small_first_parts", Flag, false, 0, 0, "true",
     "Small parts of long contexts are saved as well."},
    {"computing_instead", Flag, false, 0, 0, "true",
     "Context is recomputed when its store is too busy to send it."},
    {"read_again_weight", Flag, false, 0, 0, "true",
     "Context that an engine has cached is recomputed at another engine only if that is four times "
     "cheaper."},
    {"told_contexts", Flag, false, 0, 0, "true",
     "Nodes use their peers' announcements of engines that received long contexts."},
    {"short_engines", Flag, false, 0, 0, "false", "Some engines are reserved for short prompts."},
    {"short_first", Flag, false, 0, 0, "true",
     "Short prompts have priority over long ones at every engine."},
    {"early_refusals", Flag, false, 0, 0, "true",
     "Long prompts that would miss their deadline are rejected at once."},
    {"relays", Flag, false, 0, 0, "true",
     "In a large fleet, two nodes of each failure domain watch the context stores for the others."},
    {"passing_on", Flag, false, 0, 0, "true",
     "In a large fleet, a message between nodes is sent to each failure domain once and forwarded "
     "there."},
    {"few_candidates", Flag, false, 0, 0, "true",
     "In a large fleet, a node considers a random subset of the engines for each request."},
    {"load_sums", Flag, false, 0, 0, "true",
     "In a large fleet, relays add up the loads that nodes have sent to upstreams."},
    {"engine_scheduler", Flag, false, 0, 0, "true",
     "In a large fleet, one node chooses the engines for the prompts of all nodes, for each "
     "service "
     "and up to 128 engines."},
    {"context_from_engines", Flag, false, 0, 0, "true",
     "In a large fleet, context that no store holds is fetched from an engine that has computed "
     "it."},
};
constexpr Section kNodeSettings[] = {
    {"node", false, kNode, "Identity of this VM."},
    {"callers", false, kCallers, "Connections of callers."},
    {"peers", false, kPeers, "Communication between nodes."},
    {"store", false, kNodeStore, "The platform's key-value store."},
    {"bounds", false, kBounds,
     "Limits set by the platform's rules, and guarantees of the platform's services."},
    {"places", false, kPlaces, "Regions of the failure domains."},
    {"vm", false, kVm,
     "Capacity of the VM: the nodes with the largest capacity do work for the others."},
    {"mechanisms", false, kMechanisms,
     "Optional mechanisms of the decisions; each can be disabled to measure its benefit."},
    {"log", false, kLog, "Format of the log."},
};
constexpr Section kEntrySettings[] = {
    {"node", false, kNode, "Identity of this VM."},
    {"entry", false, kEntry, "Read by `fordwood-entryd`."},
    {"control", false, kControl,
     "Read by `fordwood-controld`, and by `fordwood-entryd` to find it."},
    {"platform", false, kPlatform, "Addresses of the platform's services."},
    {"log", false, kLog, "Format of the log."},
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
