// SPDX-License-Identifier: MIT
#include "adapters/grpc/control_service.hpp"

#include <utility>
#include <vector>

namespace fordwood::adapters {

// The stream to one subscriber. Only the latest snapshot matters, so a slow subscriber skips
// intermediate ones.
class ControlService::Stream : public grpc::ServerWriteReactor<wire::Snapshot>
{
public:
    Stream(ControlService &service, std::uint64_t id) : m_service(service), m_id(id) { }

    void setSelf(std::shared_ptr<Stream> self) { m_self = std::move(self); }

    void offer(std::shared_ptr<const wire::Snapshot> full)
    {
        const std::lock_guard lock(m_mutex);
        m_pending = std::move(full);
        writeNext();
    }

    void finish()
    {
        const std::lock_guard lock(m_mutex);
        if (!std::exchange(m_isFinished, true))
            Finish(grpc::Status::OK);
    }

    void OnWriteDone(bool ok) override
    {
        if (!ok)
            return finish();
        const std::lock_guard lock(m_mutex);
        m_isWriting = false;
        writeNext();
    }

    void OnCancel() override { finish(); }

    void OnDone() override
    {
        m_service.remove(m_id);
        const auto self = std::move(m_self);
    }

private:
    void writeNext()
    {
        if (m_isWriting || m_isFinished || !m_pending)
            return;
        const auto full = std::move(m_pending);
        m_pending = nullptr;
        m_current.Clear();
        *m_current.mutable_head() = full->head();
        *m_current.mutable_manifest() = full->manifest();
        *m_current.mutable_members() = full->members();
        *m_current.mutable_leaving_upstreams() = full->leaving_upstreams();
        std::set<std::string> present;
        for (const wire::Piece &it : full->new_pieces()) {
            present.insert(it.sha256());
            if (m_sent.count(it.sha256()) == 0)
                *m_current.add_new_pieces() = it;
        }
        m_sent = std::move(present);
        m_isWriting = true;
        StartWrite(&m_current);
    }

    ControlService &m_service;
    std::uint64_t m_id;
    std::shared_ptr<Stream> m_self;
    std::mutex m_mutex;
    std::shared_ptr<const wire::Snapshot> m_pending;
    wire::Snapshot m_current;
    std::set<std::string> m_sent; // digests of the pieces that the subscriber has
    bool m_isWriting = false;
    bool m_isFinished = false;
};

ControlService::ControlService() = default;
ControlService::~ControlService() = default;

void ControlService::publish(const std::shared_ptr<const wire::Snapshot> &full)
{
    std::vector<std::shared_ptr<Stream>> streams;
    {
        const std::lock_guard lock(m_mutex);
        m_fullSnapshot = full;
        for (const auto &[id, it] : m_streams)
            streams.push_back(it);
    }
    for (const auto &it : streams)
        it->offer(full);
}

void ControlService::setStatus(const wire::StatusReply &status)
{
    const std::lock_guard lock(m_mutex);
    m_status = status;
}

void ControlService::closeAll()
{
    std::vector<std::shared_ptr<Stream>> streams;
    {
        const std::lock_guard lock(m_mutex);
        m_isClosing = true;
        for (const auto &[id, it] : m_streams)
            streams.push_back(it);
    }
    for (const auto &it : streams)
        it->finish();
}

grpc::ServerWriteReactor<wire::Snapshot> *
ControlService::WatchSnapshots(grpc::CallbackServerContext *, const wire::SnapshotRequest *)
{
    std::shared_ptr<Stream> stream;
    std::shared_ptr<const wire::Snapshot> full;
    bool isClosing = false;
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t id = m_nextId++;
        stream = std::make_shared<Stream>(*this, id);
        stream->setSelf(stream);
        m_streams.emplace(id, stream);
        full = m_fullSnapshot;
        isClosing = m_isClosing;
    }
    if (full)
        stream->offer(full);
    if (isClosing)
        stream->finish();
    return stream.get();
}

grpc::ServerUnaryReactor *ControlService::GetStatus(grpc::CallbackServerContext *context,
                                                    const wire::StatusRequest *,
                                                    wire::StatusReply *reply)
{
    {
        const std::lock_guard lock(m_mutex);
        *reply = m_status;
    }
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

void ControlService::remove(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_streams.erase(id);
}

} // namespace fordwood::adapters
