// SPDX-License-Identifier: MIT
#include "adapters/platform/vm_list.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace fordwood::adapters {

std::optional<VmList> parseVmList(const std::string &json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object() || !document.contains("vms") || !document["vms"].is_array())
        return std::nullopt;
    VmList list;
    try {
        list.revision = document.at("revision");
        for (const auto &it : document["vms"]) {
            const std::string name = it.at("name");
            const std::string role = it.at("role");
            const bool leaving = it.value("state", "live") == "leaving";
            if (role == "entry")
                list.entryVms.push_back({name, it.at("failure_domain"), it.at("region"),
                                         it.at("control_address"), leaving});
            else if (role == "upstream" && leaving)
                list.leavingUpstreams.insert(name);
        }
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    std::sort(list.entryVms.begin(), list.entryVms.end(),
              [](const Member &a, const Member &b) { return a.name < b.name; });
    return list;
}

} // namespace fordwood::adapters
