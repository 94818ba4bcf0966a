// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_MECHANISMS_HPP_INCLUDED
#define FORDWOOD_MECHANISMS_HPP_INCLUDED

namespace fordwood {

// Parts of the decisions that can be switched off one by one, so that an operator can measure what
// each is worth under the load of the own fleet. Every promise holds without them.
struct Mechanisms
{
    bool contextStores = true; // context is saved to stores and fetched from them
    bool smallFirstParts = true; // small parts of long contexts are saved too
    bool computingInstead = true; // context is computed where its store is too busy
    bool readAgainWeight = true; // context that an engine has is rarely computed elsewhere
    bool toldContexts = true; // peers tell which engines got long contexts
    // Engines set apart for short prompts. Off: their number follows the context that was seen, so
    // that a fleet that starts sends all short prompts to a few engines (first token of the first
    // seven seconds, median of 10 VMs: 232 ms with it, 84 ms without).
    bool shortEngines = false;
    bool shortFirst = true; // short prompts go first at every engine
    bool earlyRefusals = true; // long prompts that would be late are refused at once
    bool relays = true; // in a large fleet two nodes of a failure domain follow the stores
    bool passingOn = true; // in a large fleet messages cross to a failure domain once
    bool fewCandidates = true; // in a large fleet a node considers a random part of the engines
    bool loadSums = true; // in a large fleet relays sum up what the nodes have sent to upstreams
};

} // namespace fordwood

#endif // FORDWOOD_MECHANISMS_HPP_INCLUDED
