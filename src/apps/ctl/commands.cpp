// SPDX-License-Identifier: MIT
#include "apps/ctl/commands.hpp"

#include <map>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "adapters/grpc/control_client.hpp"
#include "adapters/platform/etcd_store.hpp"
#include "adapters/platform/proto_head_codec.hpp"
#include "adapters/system_clock.hpp"
#include "apps/common/daemon.hpp"
#include "apps/ctl/references.hpp"
#include "apps/ctl/sources.hpp"

namespace fordwood::apps {

namespace {

using Json = nlohmann::json;

// Where a verb writes its output, as text or as JSON.
struct Output
{
    bool json;
    std::ostream &out;
    std::ostream &err;

    int fail(int code, const std::string &problem) const
    {
        if (json)
            out << Json{{"ok", false}, {"error", problem}}.dump() << "\n";
        else
            err << "fordwoodctl: " << problem << "\n";
        return code;
    }

    int reportErrors(const config::ConfigErrors &errors) const
    {
        Json list = Json::array();
        for (const config::ConfigError &it : errors) {
            list.push_back({{"file", it.file},
                            {"line", it.line},
                            {"column", it.column},
                            {"field", it.field},
                            {"problem", it.problem},
                            {"expected", it.expected}});
            if (!json)
                err << it.toString() << "\n";
        }
        if (json)
            out << Json{{"ok", false}, {"errors", list}}.dump() << "\n";
        return ExitUsage;
    }
};

std::string newSubmissionId()
{
    std::random_device random;
    std::ostringstream out;
    for (int it = 0; it < 4; ++it)
        out << std::hex << random();
    return out.str();
}

struct StoredConfiguration
{
    ConfigHead head;
    std::vector<StoredPiece> pieces;
};

tl::expected<StoredConfiguration, std::string> readStoredConfiguration(const CtlOptions &options)
{
    adapters::EtcdStore store(options.platform);
    const adapters::ProtoHeadCodec codec;
    const auto head = store.get(headKey(), options.timeout);
    if (!head)
        return tl::make_unexpected(head.error().text);
    StoredConfiguration stored;
    if (!*head)
        return stored;
    const auto decoded = codec.decodeHead((*head)->value);
    if (!decoded)
        return tl::make_unexpected("the stored head is damaged");
    stored.head = *decoded;
    const auto manifest = store.get(manifestKey(decoded->manifestSha256), options.timeout);
    if (!manifest)
        return tl::make_unexpected(manifest.error().text);
    auto pieces = *manifest ? codec.decodeManifest((*manifest)->value) : std::nullopt;
    if (!pieces)
        return tl::make_unexpected("the stored manifest is damaged");
    std::vector<std::string> keys;
    for (const StoredPiece &it : *pieces)
        keys.push_back(pieceKey(it.sha256));
    const auto values = store.getMany(keys, options.timeout);
    if (!values)
        return tl::make_unexpected(values.error().text);
    for (std::size_t it = 0; it < keys.size(); ++it) {
        if ((*values)[it])
            (*pieces)[it].text = (*values)[it]->value;
    }
    stored.pieces = std::move(*pieces);
    return stored;
}

int check(const CtlOptions &options, const Output &output)
{
    config::ConfigErrors errors;
    const auto source = readSource(options.arguments[0], errors);
    if (!source)
        return output.reportErrors(errors);
    const Configuration &configuration = source->configuration;
    if (output.json) {
        output.out << Json{{"ok", true},
                           {"teams", configuration.teams.size()},
                           {"models", configuration.models.size()},
                           {"upstreams", configuration.upstreams.size()},
                           {"routes", configuration.routes.size()},
                           {"stores", configuration.stores.size()}}
                          .dump()
                   << "\n";
    } else {
        output.out << "ok: " << configuration.teams.size() << " teams, "
                   << configuration.models.size() << " models, " << configuration.upstreams.size()
                   << " upstreams, " << configuration.routes.size() << " routes, "
                   << configuration.stores.size() << " stores\n";
    }
    return ExitOk;
}

std::string_view outcomeName(SubmissionOutcome outcome)
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
        return "accepted";
    case SubmissionOutcome::Unchanged:
        return "unchanged";
    case SubmissionOutcome::Refused:
        return "refused";
    case SubmissionOutcome::NotStored:
        return "not-stored";
    case SubmissionOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

int exitCodeFor(SubmissionOutcome outcome)
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
    case SubmissionOutcome::Unchanged:
        return ExitOk;
    case SubmissionOutcome::Refused:
        return kExitConflict;
    case SubmissionOutcome::NotStored:
        return ExitFailed;
    case SubmissionOutcome::Unknown:
        return kExitUnknown;
    }
    return ExitFailed;
}

int submit(const CtlOptions &options, const Output &output)
{
    config::ConfigErrors errors;
    const auto source = readSource(options.arguments[0], errors);
    if (!source)
        return output.reportErrors(errors);
    Submission submission;
    submission.id = options.submissionId.empty() ? newSubmissionId() : options.submissionId;
    submission.pieces = piecesOf(*source);
    if (options.base >= 0)
        submission.base = static_cast<std::uint64_t>(options.base);
    adapters::EtcdStore store(options.platform);
    const adapters::ProtoHeadCodec codec;
    const adapters::SystemClock clock;
    Submitter submitter(store, codec, clock,
                        [](Duration time) { std::this_thread::sleep_for(time); });
    const SubmissionResult result = submitter.submit(submission, options.timeout);
    const std::string name(outcomeName(result.outcome));
    if (output.json) {
        output.out << Json{{"ok", exitCodeFor(result.outcome) == ExitOk},
                           {"outcome", name},
                           {"version", result.version},
                           {"submission", submission.id},
                           {"pieces_written", result.piecesWritten},
                           {"detail", result.detail}}
                          .dump()
                   << "\n";
    } else {
        output.out << name << ": version " << result.version << ", submission " << submission.id
                   << ", " << result.piecesWritten << " pieces written"
                   << (result.detail.empty() ? "" : ": " + result.detail) << "\n";
    }
    return exitCodeFor(result.outcome);
}

int show(const CtlOptions &options, const Output &output)
{
    const auto stored = readStoredConfiguration(options);
    if (!stored)
        return output.fail(ExitFailed, stored.error());
    if (output.json) {
        Json pieces = Json::object();
        for (const StoredPiece &it : stored->pieces)
            pieces[it.name] = it.text;
        output.out << Json{{"ok", true},
                           {"version", stored->head.version},
                           {"submission", stored->head.submissionId},
                           {"pieces", pieces}}
                          .dump()
                   << "\n";
        return ExitOk;
    }
    output.out << "# version " << stored->head.version << ", submission "
               << stored->head.submissionId << "\n";
    for (const StoredPiece &it : stored->pieces)
        output.out << it.text;
    return ExitOk;
}

// The TOML tables of the pieces as text, by section and name.
std::map<std::string, std::string> tablesByName(const std::vector<StoredPiece> &pieces)
{
    std::map<std::string, std::string> entries;
    config::ConfigErrors errors;
    for (const StoredPiece &piece : pieces) {
        const auto document = config::parseDocument(piece.name, piece.text, errors);
        if (!document)
            continue;
        for (const auto &[key, node] : document->table) {
            const std::string section(key.str());
            const auto add = [&](const toml::table &table) {
                const toml::node *name = table.get(section == "route" ? "path" : "name");
                std::ostringstream out;
                out << table;
                const std::string label
                    = name == nullptr ? "" : " " + name->value_or(std::string());
                entries[section + label] = out.str();
            };
            if (const toml::table *table = node.as_table())
                add(*table);
            else if (const toml::array *array = node.as_array())
                array->for_each([&](const toml::table &it) { add(it); });
        }
    }
    return entries;
}

int diff(const CtlOptions &options, const Output &output)
{
    config::ConfigErrors errors;
    const auto source = readSource(options.arguments[0], errors);
    if (!source)
        return output.reportErrors(errors);
    const auto stored = readStoredConfiguration(options);
    if (!stored)
        return output.fail(ExitFailed, stored.error());
    const auto before = tablesByName(stored->pieces);
    const auto after = tablesByName(piecesOf(*source));
    Json list = Json::array();
    const auto addChange = [&](char sign, const std::string &name) {
        list.push_back({{"change", std::string(1, sign)}, {"entry", name}});
        if (!output.json)
            output.out << sign << " " << name << "\n";
    };
    for (const auto &[name, text] : before) {
        const auto it = after.find(name);
        if (it == after.end())
            addChange('-', name);
        else if (it->second != text)
            addChange('~', name);
    }
    for (const auto &[name, text] : after) {
        if (before.count(name) == 0)
            addChange('+', name);
    }
    if (output.json)
        output.out
            << Json{{"ok", true}, {"version", stored->head.version}, {"changes", list}}.dump()
            << "\n";
    return list.empty() ? ExitOk : kExitDiffers;
}

int status(const CtlOptions &options, const Output &output)
{
    bool allAnswered = true;
    std::map<std::uint64_t, int> versions;
    Json list = Json::array();
    for (const std::string &node : options.nodes) {
        const auto reply = adapters::requestStatus(node, options.timeout);
        if (!reply) {
            allAnswered = false;
            list.push_back({{"address", node}, {"error", reply.error()}});
            if (!output.json)
                output.out << node << ": no answer: " << reply.error() << "\n";
            continue;
        }
        ++versions[reply->version()];
        list.push_back({{"address", node},
                        {"node", reply->node()},
                        {"failure_domain", reply->failure_domain()},
                        {"version", reply->version()},
                        {"platform_reachable", reply->platform_reachable()},
                        {"relay", reply->relay()},
                        {"links", reply->links()},
                        {"members", reply->live_members()},
                        {"owned_upstreams", reply->owned_upstreams()},
                        {"build", reply->build()}});
        if (!output.json)
            output.out << reply->node() << ": version " << reply->version() << ", platform "
                       << (reply->platform_reachable() ? "reachable" : "not reachable") << ", "
                       << reply->live_members() << " members, owns " << reply->owned_upstreams()
                       << " upstreams" << (reply->relay() ? ", relay" : "") << ", "
                       << reply->links() << " links, build " << reply->build() << "\n";
    }
    const bool isSameVersion = versions.size() <= 1;
    if (output.json)
        output.out << Json{{"ok", allAnswered && isSameVersion},
                           {"same_version", isSameVersion},
                           {"nodes", list}}
                          .dump()
                   << "\n";
    else
        output.out << (isSameVersion ? "all on the same version\n" : "versions differ\n");
    return allAnswered && isSameVersion ? ExitOk : ExitFailed;
}

int reference(const CtlOptions &options, const Output &output)
{
    const auto page = referenceOf(options.arguments.empty() ? "" : options.arguments[0]);
    if (!page)
        return output.fail(ExitUsage,
                           "reference: expected configuration, settings, reasons or events");
    output.out << *page;
    return ExitOk;
}

} // namespace

int runVerb(const CtlOptions &options, std::ostream &out, std::ostream &err)
{
    const Output output{options.json, out, err};
    const bool needsPath
        = options.verb == "check" || options.verb == "submit" || options.verb == "diff";
    const bool needsPlatform
        = options.verb == "submit" || options.verb == "diff" || options.verb == "show";
    if (needsPath && options.arguments.size() != 1)
        return output.fail(ExitUsage, options.verb + ": expected one file or folder");
    if (needsPlatform && options.platform.empty())
        return output.fail(ExitUsage, "--platform: is missing, expected IP:port");
    if (options.verb == "reference")
        return reference(options, output);
    if (options.verb == "check")
        return check(options, output);
    if (options.verb == "submit")
        return submit(options, output);
    if (options.verb == "show")
        return show(options, output);
    if (options.verb == "diff")
        return diff(options, output);
    if (options.verb != "status")
        return output.fail(
            ExitUsage,
            "\"" + options.verb
                + "\": unknown verb, expected check, submit, show, diff, status, reference or "
                  "version");
    if (options.nodes.empty())
        return output.fail(ExitUsage, "--node: is missing, expected IP:port of a controld");
    return status(options, output);
}

} // namespace fordwood::apps
