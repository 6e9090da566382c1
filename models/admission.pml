/*
 * Checks how requests wait in the admission queue of a group's owner.
 *
 * Two hosts have one request each for the one slot of a group. A host sends its request to the owner that it
 * knows, repeats it while it waits, turns to the next owner if this one is silent, and withdraws the request if
 * its caller leaves.
 *
 * Assumptions: requests, responses and withdrawals are lost, arrive twice and overtake each other. Owners do not
 * share state. An owner may be killed, or paused and then continue without its queue, once in all.
 */
