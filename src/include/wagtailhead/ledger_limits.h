/// Times and sizes of the at-most-once protocol, and the reasons that callers see.
#pragma once

#include "wagtailhead/clock.h"

#include <chrono>
#include <cstddef>

namespace wagtailhead {

/// The longest deadline a caller may set. Every attempt ends at most this long after its acceptance.
constexpr Duration longestDeadline = seconds(60);

/// How much the transport's estimate of the time at which a message was sent may be too late. Refusals are
/// extended by this margin.
constexpr Duration datingSlack = milliseconds(10);

/// How long after the decision "not run" may be sent to the caller. It has to cover the reply to an entry
/// node in another region (60 ms round trip) and a round of records. A retry of the same key that is
/// accepted within this time is refused as well, so it stays below the shortest Retry-After (1 s).
constexpr Duration notRunWindow = milliseconds(200);

/// A block is kept until every attempt that it refuses has passed its deadline; 5 s cover clock drift
/// and dating errors.
constexpr Duration blockLife = longestDeadline + seconds(5);

/// Complete answers are kept this long after the end of an execution.
constexpr Duration answerRetention = std::chrono::minutes(15);

/// A UUIDv7 key issued longer ago than this is refused unless the ledger has a record of it.
constexpr Duration longestKeyAge = std::chrono::hours(6);

/// A UUIDv7 key issued further than this in the future is treated as a key without an issue time.
constexpr Duration longestKeyLead = std::chrono::minutes(5);

/// Fingerprints are kept until no UUIDv7 key with the same value can be accepted any more, even if the
/// clock that issued it is ahead.
constexpr Duration fingerprintRetention = longestKeyAge + 2 * longestKeyLead;

/// Tolerated difference between the callers' clocks and the time at which members are declared lost.
constexpr Duration issueTimeMargin = seconds(60);

/// A record is sent again after this time. A witness of the same region replies within a few milliseconds.
constexpr Duration recordTimeout = milliseconds(300);

/// Reasons that callers see in Wagtailhead-Reason.
namespace ledger_reason {
constexpr const char* notOwner
    = "not-owner"; ///< The attempt did not start at this node; it has to be sent to the owner.
constexpr const char* ownerLost = "owner-lost"; ///< Started at an earlier owner; its outcome is unknown.
constexpr const char* answerExpired = "answer-expired";
constexpr const char* keyExpired = "key-expired";
constexpr const char* keyReused = "key-reused";
constexpr const char* issuedBeforeLoss = "issued-before-loss";
constexpr const char* ledgerFull = "ledger-full";
constexpr const char* deadline = "deadline";
constexpr const char* refusedBefore = "refused-before"; ///< Accepted before an earlier refusal.
constexpr const char* ownerUnreachable = "owner-unreachable";
constexpr const char* fenced = "fenced";
constexpr const char* executionLost = "execution-lost"; ///< The backend server sent no complete response.
} // namespace ledger_reason

} // namespace wagtailhead
