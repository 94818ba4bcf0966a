// SPDX-License-Identifier: MIT
#include "adapters/platform/load_table_codec.hpp"

#include "fordwood/control.pb.h"

namespace fordwood::adapters {

std::string encodeLoadTable(const LoadTable &table)
{
    wire::LoadSlots message;
    message.set_last_fence(table.lastFence);
    message.set_config_version(table.configVersion);
    for (const LoadSlot &it : table.slots) {
        wire::LoadSlotEntry *slot = message.add_slots();
        slot->set_fence(it.fence);
        slot->set_node(it.node);
        slot->set_boot(it.boot);
        slot->set_upstream(it.upstream);
    }
    return message.SerializeAsString();
}

std::optional<LoadTable> decodeLoadTable(const std::string &bytes)
{
    wire::LoadSlots message;
    if (!message.ParseFromString(bytes))
        return std::nullopt;
    LoadTable table;
    table.lastFence = message.last_fence();
    table.configVersion = message.config_version();
    for (const wire::LoadSlotEntry &it : message.slots())
        table.slots.push_back({it.fence(), it.node(), it.boot(), it.upstream()});
    return table;
}

} // namespace fordwood::adapters
