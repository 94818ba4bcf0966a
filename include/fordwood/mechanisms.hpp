// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_MECHANISMS_HPP_INCLUDED
#define FORDWOOD_MECHANISMS_HPP_INCLUDED

namespace fordwood {

// Optional routing and messaging mechanisms, each of which can be switched off so that an operator
// can measure its effect under real load. No guarantee of the system depends on them.
struct Mechanisms
{
    bool contextStores = true; // context is saved to stores and loaded from them
    bool smallFirstParts = true; // also save small prefixes of long contexts
    bool computingInstead = true; // compute context whose store is too busy
    bool readAgainWeight = true; // avoid recomputing elsewhere a context that an engine has
    bool toldContexts = true; // peers announce which engines received long contexts
    // Dedicates some engines to short prompts. Off by default: their number follows the observed
    // context, so a starting fleet sends all short prompts to a few engines (median time to first
    // token in the first seven seconds with 10 VMs: 232 ms with it, 84 ms without).
    bool shortEngines = false;
    bool shortFirst = true; // short prompts first at every engine
    bool earlyRefusals = true; // refuse long prompts at once that would miss their deadline
    bool relays = true; // in a large fleet two nodes per failure domain watch the stores
    bool passingOn = true; // in a large fleet a message is sent to each failure domain once
    bool fewCandidates = true; // in a large fleet a node considers a random subset of engines
    bool loadSums = true; // in a large fleet relays aggregate the load that nodes send
    bool engineScheduler = true; // in a large fleet one node chooses the engines of a service
    bool contextFromEngines = true; // context that no store holds is fetched from engines
};

} // namespace fordwood

#endif // FORDWOOD_MECHANISMS_HPP_INCLUDED
