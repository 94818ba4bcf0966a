// SPDX-License-Identifier: MIT
#include "adapters/grpc/peer_codec.hpp"

#include "adapters/platform/proto_head_codec.hpp"

namespace fordwood::adapters {

namespace {

wire::MemberDelta toWire(const VmListDelta &delta)
{
    wire::MemberDelta message;
    message.set_from_revision(delta.fromRevision);
    message.set_to_revision(delta.toRevision);
    for (const Member &it : delta.changed)
        *message.add_changed() = adapters::toWire(it);
    for (const std::string &it : delta.removed)
        message.add_removed(it);
    for (const std::string &it : delta.leavingAdded)
        message.add_leaving_added(it);
    for (const std::string &it : delta.leavingRemoved)
        message.add_leaving_removed(it);
    return message;
}

VmListDelta fromWire(const wire::MemberDelta &message)
{
    VmListDelta delta;
    delta.fromRevision = message.from_revision();
    delta.toRevision = message.to_revision();
    for (const wire::Member &it : message.changed())
        delta.changed.push_back(adapters::fromWire(it));
    delta.removed.assign(message.removed().begin(), message.removed().end());
    delta.leavingAdded.assign(message.leaving_added().begin(), message.leaving_added().end());
    delta.leavingRemoved.assign(message.leaving_removed().begin(), message.leaving_removed().end());
    return delta;
}

} // namespace

wire::Member toWire(const Member &member)
{
    wire::Member message;
    message.set_name(member.name);
    message.set_failure_domain(member.failureDomain);
    message.set_region(member.region);
    message.set_control_address(member.controlAddress);
    message.set_leaving(member.leaving);
    return message;
}

Member fromWire(const wire::Member &message)
{
    return {message.name(), message.failure_domain(), message.region(), message.control_address(),
            message.leaving()};
}

wire::PeerMessage toWire(const PeerUpdate &update)
{
    wire::PeerMessage message;
    message.set_head_version(update.headVersion);
    message.set_list_revision(update.listRevision);
    if (update.head)
        *message.mutable_head() = toWire(*update.head);
    if (update.list)
        *message.mutable_list() = toWire(*update.list);
    for (const LivenessRecord &it : update.liveness) {
        wire::MemberLife *life = message.add_lives();
        life->set_member(it.member);
        life->set_incarnation(it.incarnation);
        life->set_suspected(it.suspected);
    }
    for (const std::string &it : update.requestedDigests)
        message.add_wants(it);
    for (const Blob &it : update.blobs) {
        wire::NamedBytes *blob = message.add_blobs();
        blob->set_sha256(it.sha256);
        blob->set_content(it.bytes);
    }
    message.set_wants_head(update.requestsHead);
    message.set_wants_list(update.requestsList);
    message.set_leaving(update.leaving);
    return message;
}

PeerUpdate fromWire(const wire::PeerMessage &message)
{
    PeerUpdate update;
    update.headVersion = message.head_version();
    update.listRevision = message.list_revision();
    if (message.has_head())
        update.head = fromWire(message.head());
    if (message.has_list())
        update.list = fromWire(message.list());
    for (const wire::MemberLife &it : message.lives())
        update.liveness.push_back({it.member(), it.incarnation(), it.suspected()});
    update.requestedDigests.assign(message.wants().begin(), message.wants().end());
    for (const wire::NamedBytes &it : message.blobs())
        update.blobs.push_back({it.sha256(), it.content()});
    update.requestsHead = message.wants_head();
    update.requestsList = message.wants_list();
    update.leaving = message.leaving();
    return update;
}

} // namespace fordwood::adapters
