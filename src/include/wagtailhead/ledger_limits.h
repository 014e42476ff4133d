/// Times and sizes of the at-most-once protocol, and the reasons that callers see.
#pragma once

#include "wagtailhead/clock.h"

#include <chrono>
#include <cstddef>

namespace wagtailhead {

/// No attempt lives longer than this after its acceptance; the longest deadline a caller may set.
constexpr Duration longestDeadline = seconds(60);

/// How much later than the truth the transport may date a message. Refusals add it on the safe side.
constexpr Duration datingSlack = milliseconds(10);

/// How long "not run" may be told after the decision. It has to cover the way back to an entry node in
/// another region (60 ms round trip) and a round of records; a repeat of the same key that is accepted
/// within it is refused as well, so it stays below the shortest Retry-After (1 s).
constexpr Duration notRunWindow = milliseconds(200);

/// A block is kept until every attempt that it refuses has passed its deadline; 5 s cover clock drift
/// and dating errors.
constexpr Duration blockLife = longestDeadline + seconds(5);

/// Whole answers are kept this long after the end of an execution.
constexpr Duration answerRetention = std::chrono::minutes(15);

/// A UUIDv7 key issued longer ago than this is refused unless it has an entry.
constexpr Duration longestKeyAge = std::chrono::hours(6);

/// A UUIDv7 key issued further than this in the future is treated as a key without an issue time.
constexpr Duration longestKeyLead = std::chrono::minutes(5);

/// Fingerprints outlive every timed key that can still be accepted, also if its clock is ahead.
constexpr Duration fingerprintRetention = longestKeyAge + 2 * longestKeyLead;

/// Callers' clocks may be this far off the declaration of lost members.
constexpr Duration issueTimeMargin = seconds(60);

/// A witness of the same region answers within a few milliseconds; a record is repeated after this.
constexpr Duration recordTimeout = milliseconds(300);

/// Reasons that callers see in Wagtailhead-Reason.
namespace ledger_reason {
constexpr const char* notOwner = "not-owner"; ///< The attempt did not start here; ask the owner.
constexpr const char* ownerLost = "owner-lost"; ///< Started at an earlier owner, end unknown.
constexpr const char* answerExpired = "answer-expired";
constexpr const char* keyExpired = "key-expired";
constexpr const char* keyReused = "key-reused";
constexpr const char* issuedBeforeLoss = "issued-before-loss";
constexpr const char* ledgerFull = "ledger-full";
constexpr const char* deadline = "deadline";
constexpr const char* refusedBefore = "refused-before"; ///< Accepted before an earlier refusal.
constexpr const char* ownerUnreachable = "owner-unreachable";
constexpr const char* fenced = "fenced";
constexpr const char* executionLost = "execution-lost"; ///< The backend server gave no whole answer.
} // namespace ledger_reason

} // namespace wagtailhead
