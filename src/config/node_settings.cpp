// SPDX-License-Identifier: MIT
#include "config/node_settings.hpp"

#include <set>

#include "config/settings_tables.hpp"

namespace fordwood::config {

namespace {

Mechanisms readMechanisms(const CheckedTable &table)
{
    Mechanisms mechanisms;
    mechanisms.contextStores = table.flag("context_stores", mechanisms.contextStores);
    mechanisms.smallFirstParts = table.flag("small_first_parts", mechanisms.smallFirstParts);
    mechanisms.computingInstead = table.flag("computing_instead", mechanisms.computingInstead);
    mechanisms.readAgainWeight = table.flag("read_again_weight", mechanisms.readAgainWeight);
    mechanisms.toldContexts = table.flag("told_contexts", mechanisms.toldContexts);
    mechanisms.shortEngines = table.flag("short_engines", mechanisms.shortEngines);
    mechanisms.shortFirst = table.flag("short_first", mechanisms.shortFirst);
    mechanisms.earlyRefusals = table.flag("early_refusals", mechanisms.earlyRefusals);
    mechanisms.relays = table.flag("relays", mechanisms.relays);
    mechanisms.passingOn = table.flag("passing_on", mechanisms.passingOn);
    mechanisms.fewCandidates = table.flag("few_candidates", mechanisms.fewCandidates);
    mechanisms.loadSums = table.flag("load_sums", mechanisms.loadSums);
    mechanisms.engineScheduler = table.flag("engine_scheduler", mechanisms.engineScheduler);
    mechanisms.contextFromEngines
        = table.flag("context_from_engines", mechanisms.contextFromEngines);
    return mechanisms;
}

// Adds the regions from a list of "domain=region" entries.
void readRegions(const CheckedTable &table, DomainRegions &regions, ConfigErrors &errors)
{
    for (const std::string &it : table.textList("regions")) {
        const std::size_t equalsSign = it.find('=');
        if (equalsSign == 0 || equalsSign == std::string::npos || equalsSign + 1 == it.size())
            errors.push_back(table.error("regions",
                                         "\"" + it + "\" has no failure domain or no region",
                                         "expected \"failure domain=region\""));
        else
            regions[it.substr(0, equalsSign)] = it.substr(equalsSign + 1);
    }
}

void readTable(const CheckedTable &table, OneProcessSettings &settings, ConfigErrors &errors)
{
    const std::string_view section = table.section();
    if (section == "node") {
        settings.node = {table.text("name"), table.text("failure_domain"), table.text("region")};
    } else if (section == "callers") {
        CallerSettings &callers = settings.callers;
        callers.listen = table.text("listen");
        callers.readyListen = table.text("ready_listen");
        callers.maxConnections = static_cast<std::size_t>(
            table.integer("max_connections", static_cast<std::int64_t>(callers.maxConnections)));
        callers.channelBuffer = static_cast<std::size_t>(
            table.integer("channel_buffer", static_cast<std::int64_t>(callers.channelBuffer)));
        callers.bufferShare = table.number("buffer_share", callers.bufferShare);
        callers.teamBufferShare = table.number("team_buffer_share", callers.teamBufferShare);
        callers.unreadTimeout = table.span("unread_timeout", callers.unreadTimeout);
    } else if (section == "peers") {
        PeerSettings &peers = settings.peers;
        peers.listen = table.text("listen");
        peers.gossipListen = table.text("gossip_listen");
        peers.metricsListen = table.text("metrics_listen");
        peers.placementListen = table.text("placement_listen");
        peers.proxyListen = table.text("proxy_listen");
        peers.seeds = table.textList("seeds");
        peers.gossipEvery = table.span("gossip_every", peers.gossipEvery);
    } else if (section == "store") {
        settings.store.address = table.text("address");
        settings.store.minLease = table.span("least_lease", settings.store.minLease);
    } else if (section == "bounds") {
        BoundSettings &bounds = settings.bounds;
        bounds.stopWithin = table.span("stop_within", bounds.stopWithin);
        bounds.retryRatio = table.number("retry_ratio", bounds.retryRatio);
        bounds.retryWindow = table.span("retry_window", bounds.retryWindow);
        bounds.retrySlack = table.number("retry_slack", bounds.retrySlack);
        bounds.orderLease = table.span("order_lease", bounds.orderLease);
        bounds.fencesChecked = table.flag("fences_checked", bounds.fencesChecked);
        bounds.weightsWithin = table.span("weights_within", bounds.weightsWithin);
        bounds.coldOvershoot = table.number("cold_overshoot", bounds.coldOvershoot);
        bounds.coldSlack = table.number("cold_slack", bounds.coldSlack);
    } else if (section == "vm") {
        VmSettings &vm = settings.vm;
        vm.processorShare = table.number("processor_share", vm.processorShare);
        vm.processorSpeed = table.number("processor_speed", vm.processorSpeed);
        vm.linkMbps = table.number("link_mbps", vm.linkMbps);
        vm.memoryMegabytes = table.number("memory_mb", vm.memoryMegabytes);
    } else if (section == "places") {
        readRegions(table, settings.regions, errors);
    } else if (section == "mechanisms") {
        settings.mechanisms = readMechanisms(table);
    } else if (section == "log") {
        settings.jsonLog = table.text("format") == "json";
    }
}

} // namespace

std::optional<OneProcessSettings> readOneProcessSettings(const std::string &path,
                                                         ConfigErrors &errors)
{
    const auto read = readSettingsTables(path, nodeSettingsSections(),
                                         {"node", "callers", "peers", "store"}, errors);
    OneProcessSettings settings;
    for (const CheckedTable &it : read.tables)
        readTable(it, settings, errors);
    settings.regions[settings.node.failureDomain] = settings.node.region;
    if (!errors.empty())
        return std::nullopt;
    return settings;
}

} // namespace fordwood::config
