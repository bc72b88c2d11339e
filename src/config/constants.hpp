// Every constant of the project, with its unit and the reason for its value.
// What a deployment may change comes from the settings file, not from here.
#pragma once

#include <cstddef>
#include <cstdint>

namespace elmstall::constants {

// --- protocol limits -------------------------------------------------------
/// Bytes. Largest request body, and largest response to workers and users.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
/// Bytes. Largest body taken from the state service or cloud: a page is 512
/// KiB, but a watch has no size limit, so this only stops a runaway peer.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{8} * 1024 * 1024;
/// Bytes. Largest block of header fields taken from a client.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{8} * 1024;
/// Levels. Deepest nesting of a message; the protocol needs four.
inline constexpr std::size_t kMaxDepth = 16;
/// Tasks. Most tasks of one job.
inline constexpr std::uint64_t kMaxTasks = 100'000;
/// Seconds. A worker drops the response to a heartbeat after this long.
inline constexpr double kHeartbeatReplyTimeout = 4.0;
/// Machines per rental request.
inline constexpr int kMaxMachinesPerProvision = 50;
/// Machines per request to delete some.
inline constexpr std::size_t kMaxTerminationsPerRequest = 100;
/// Entries per page asked of the state service and of the cloud list.
inline constexpr int kStatePage = 1000;
inline constexpr int kCloudPage = 500;
/// Bytes. Largest transaction; kept below the 64 KiB of the protocol.
inline constexpr std::size_t kMaxTransactionBytes = std::size_t{48} * 1024;

// --- network ---------------------------------------------------------------
/// Seconds. A connection that stays silent this long while a request is half
/// sent is closed; users give up after 5 s.
inline constexpr double kRequestReadTimeout = 6.0;
/// Seconds. An idle kept-alive connection; users poll every 5 s.
inline constexpr double kIdleTimeout = 60.0;
/// Seconds. Interval at which connections past their deadline are looked for:
/// a timer for each would be set three times in every request.
inline constexpr double kDeadlineCheckInterval = 1.0;
/// Share of the socket limit that inbound connections may take; the rest is
/// for workers that are sent commands (`kWorkerSocketShare`), the state service
/// (10), the cloud (4), peers (5 each) and what is being closed.
inline constexpr double kInboundSocketShare = 0.8;
/// Share of those above which workers' connections are closed after their
/// answer: a fleet may be larger than what one controller has sockets, and a
/// heartbeat takes its own for milliseconds only. What is left is for readiness,
/// users, and workers that all come at once.
inline constexpr double kCrowdedShare = 0.7;
/// Seconds. Longest wait for an answer of the state service: users wait 5 s
/// for a submission, which leaves room for a read-back and a second try.
inline constexpr double kStateTimeout = 1.5;
/// Seconds. Longest wait for an answer of the cloud.
inline constexpr double kCloudTimeout = 8.0;
/// Seconds. How long a watch is held open by the state service.
inline constexpr double kWatchHold = 10.0;
/// Seconds. Grace on top of the hold before a watch counts as lost.
inline constexpr double kWatchGrace = 2.0;

// --- leadership ------------------------------------------------------------
/// Seconds. Life of the state lease on `lead`. Short, because a worker's
/// lease may be 10 s and must be renewed by the next leader in time; long
/// enough for several renewals to get lost.
inline constexpr double kLeadLease = 3.0;
/// Seconds. Interval of lease renewals and of term confirmations.
inline constexpr double kRenewInterval = 0.8;
/// Seconds. Spread of the moment at which followers start an election.
inline constexpr double kElectionJitter = 0.1;
/// Candidacies remembered by a node that is not elected: the transaction of one
/// that was given up can be applied only while its lease of `kLeadLease` lives,
/// in which a dozen others fit at `kStateRetry`.
inline constexpr std::size_t kCandidaciesKept = 12;
/// Seconds. Taken off W for timer steps and the time it takes to kill a task.
/// Not for the way of an answer: a lease counts from the sending of the heartbeat,
/// which lies before the moment of the answer, however late that arrives.
inline constexpr double kLeaderLeaseMargin = 1.5;
/// Seconds. Oldest knowledge of cancellations on which a task is started, unless
/// nobody reaches the state service: a read index is requested every second
/// (`kProbeInterval`) and may take a slow answer or two to come.
inline constexpr double kStartKnowledge = 4.0;
/// Ratio. Steady clocks drift apart by at most 0.05%; doubled here.
inline constexpr double kDrift = 0.001;
/// Seconds. Added to any wait for a lease to run out, for timer steps.
inline constexpr double kLeaseMargin = 0.5;
/// Bits of a token below the term, left for per-machine fences.
inline constexpr int kTokenFenceBits = 20;

// --- peer network --------------------------------------------------------------------
/// Seconds. Interval of heartbeats between controllers.
inline constexpr double kPeerHeartbeatInterval = 0.8;
/// Seconds. A peer not heard from for this long counts as unreachable.
inline constexpr double kPeerSilence = 2.6;
/// Bytes. Largest message between controllers.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{256} * 1024;
/// Bytes. Messages between controllers that are written together at most, and
/// read at once; a forwarded heartbeat takes some hundred.
inline constexpr std::size_t kPeerWriteBytes = std::size_t{16} * 1024;
inline constexpr std::size_t kPeerReadBytes = std::size_t{8} * 1024;
/// Seconds. Interval at which forwarded heartbeats and their answers are sent: each
/// packet costs a small machine more than the heartbeat in it, and workers send theirs
/// half a second apart at the least.
inline constexpr double kForwardInterval = 0.05;
/// Seconds. A worker that comes back within this time after a redirect could
/// not reach the leader; its heartbeat is then forwarded over the peer network.
inline constexpr double kRedirectMemory = 12.0;
/// Seconds. Longest wait for the leader's answer to a forwarded heartbeat; the
/// worker gives up after 4 s.
inline constexpr double kForwardTimeout = 3.4;

// --- zone delegates --------------------------------------------------------------
/// Seconds. Life of the state lease on a zone delegate's record.
inline constexpr double kDelegationLease = 4.0;
/// Seconds taken off that life: a zone delegate falls silent before its record
/// can be gone.
inline constexpr double kDelegationMargin = 0.5;
/// Seconds. Oldest knowledge of cancellations a zone delegate may act on.
inline constexpr double kDelegationKnowledge = 5.0;
/// Seconds. A machine that comes back within this time after it was sent away
/// found no other controller: each of a handful costs it a time-out of 4 s and
/// a pause of 1 s.
inline constexpr double kTurnedAwayMemory = 40.0;
/// Seconds. How long the leader must be heard again before the delegation ends.
inline constexpr double kDelegationEnd = 1.5;

// --- gangs -------------------------------------------------------------------------
/// Seconds. How long workers let a gang's task wait for the others, and how soon
/// they notice that one is gone, where the settings don't tell.
inline constexpr double kGangWaitDefault = 30.0;
inline constexpr double kGangPeerDefault = 8.0;
/// Seconds. Pause between two searches of places for one gang: each walks through
/// all machines with room.
inline constexpr double kGangRetryInterval = 0.25;
/// Seconds. How long places are kept while lesser work makes room: it saves for
/// some seconds, and says so late.
inline constexpr double kGangClaimMax = 15.0;
/// Seconds. A gang that has waited this long keeps the places there are, so that
/// smaller work does not take them one by one for ever; and how long at most,
/// and again after as long, for its share may stand idle meanwhile.
inline constexpr double kGangReserveAfter = 10.0;
inline constexpr double kGangReserveMax = 60.0;
/// Seconds. Machines are rented in one zone for this long before another is tried.
inline constexpr double kGangZonePatience = 20.0;
/// Seconds. Pause of a task that a machine refused.
inline constexpr double kGangRefusedPause = 0.5;
/// Seconds. What must be left of the others' wait for a replacement to be worth
/// it: a commit, a command, and the heartbeats that tell.
inline constexpr double kGangReplaceMargin = 3.0;
/// Seconds. What a machine must live beyond the time to save, for the commands
/// to reach all machines.
inline constexpr double kGangCheckpointMargin = 2.0;
/// Seconds. A stop with time to save is told again after this long.
inline constexpr double kStopRepeat = 1.0;

// --- engine ------------------------------------------------------------------
/// Seconds. Interval of the engine's periodic work.
inline constexpr double kTickInterval = 0.25;
/// Seconds. Longest a user's request waits for a read index or a commit.
inline constexpr double kUserDeadline = 4.0;
/// Seconds. Longest a poll waits; users give up after 2 s.
inline constexpr double kPollDeadline = 1.5;
/// Seconds. What users are told to wait before trying again.
inline constexpr int kRetryAfter = 1;
/// Seconds. Pause before a watch is opened again, so that changes come in
/// batches: each opened watch costs a request of the state service's rate.
inline constexpr double kWatchPauseLeader = 0.02;
inline constexpr double kWatchPauseFollower = 0.1;
/// Seconds. Pause after the state service did not serve a request.
inline constexpr double kStateRetry = 0.3;
/// Share of the state service's requests that read indexes of all nodes
/// together may take: one serves every poll that waits, and the rest is
/// for commits, watches and lease renewals.
inline constexpr double kReadIndexShare = 0.3;
/// Seconds. A node proves at least this often that it reaches the state service.
inline constexpr double kProbeInterval = 1.0;
/// Seconds. Without the state service for this long a node calls itself
/// unready, unless the others see the same; each removal by the balancer
/// doubles its pause, so short faults are sat out.
inline constexpr double kUnreadyAfter = 4.0;
/// Seconds. Pause before the machine types are asked for again.
inline constexpr double kTypesRetry = 1.0;
/// Jobs. Final states remembered in memory; older ones are read when asked.
inline constexpr std::size_t kFinalCache = 20'000;
/// Commands in one response, so that it stays far below 64 KiB.
inline constexpr std::size_t kMaxCommands = 200;

// --- ledger log -----------------------------------------------------------------
/// Share of a value that is filled; estimates of sizes are upper bounds, and
/// the rest is for the frame around the entries.
inline constexpr double kSlotFill = 0.95;
/// Share of a value that may be live when it is overwritten: what is live is
/// carried along. A third keeps carrying cheap and the log at three times the
/// live records, which is what a takeover reads.
inline constexpr double kSlotCarry = 0.33;
/// Least share of the limits that transactions are cut down to when the state
/// service calls them too large, and how many accepted ones it takes to double
/// that share again.
inline constexpr double kCommitScaleMin = 0.25;
inline constexpr int kCommitScaleRegain = 200;
/// Seconds. Pause after a transaction that was called malformed, whatever its size.
inline constexpr double kCommitRejectedPause = 1.0;
/// Bytes. What numbers may take as JSON beyond their shortest form.
inline constexpr std::size_t kJsonNumberSlack = 32;
/// Bytes. Frame of a block's record around its tasks, as JSON.
inline constexpr std::size_t kBlockFrameBytes = 80;
/// Values that the log has before it begins to overwrite.
inline constexpr std::size_t kSlotsFirst = 8;
/// Seconds between two commits of the leader: together they stay far below the
/// changes that the state service takes, with room for users' own.
inline constexpr double kCommitInterval = 0.12;
/// Seconds. Pause after a refused commit: short, for acceptances of all nodes
/// compete for the same rate, and every start waits for this one.
inline constexpr double kCommitRetry = 0.08;

// --- direct commands ---------------------------------------------------------------
/// Seconds. Longest wait for a worker's answer to commands: a good deal above the
/// slowest round trip between zones, a good deal below a short lease.
inline constexpr double kCommandRpcTimeout = 2.0;
/// Seconds. After a command RPC that failed the machine gets its commands with the
/// answers to its heartbeats for this long.
inline constexpr double kCommandRpcBackoff = 6.0;
/// Command RPCs in flight at once, and takeover command RPCs begun per tick: they
/// share the processor with the heartbeats.
inline constexpr std::size_t kCommandRpcsMax = 48;
inline constexpr std::size_t kSynchronizationsPerTick = 24;
/// Share of the socket limit for connections to workers.
inline constexpr double kWorkerSocketShare = 0.08;
/// Share of a lease after which a machine that shows no effect of what it was
/// told, though its heartbeats arrive, counts as unresponsive.
inline constexpr double kUnresponsiveShare = 0.7;
/// Leases after which a machine that stays unresponsive is returned to the cloud.
inline constexpr double kUnresponsiveLeases = 3.0;

// --- overload ------------------------------------------------------------------
/// Requests in progress: first limit, and the bounds it moves in.
inline constexpr double kLimitStart = 64;
inline constexpr double kLimitMin = 8;
inline constexpr double kLimitMax = 400;
/// Seconds. Times below this say nothing about load.
inline constexpr double kLimitFloor = 0.02;
/// Ratio of a request's time to the best one that is still no overload.
inline constexpr double kLimitTolerance = 4.0;
/// Ratio by which the best time is let go with every measurement.
inline constexpr double kLimitForget = 1.002;

// --- scheduling ----------------------------------------------------------------
/// Tasks' worth of time by which z must exceed the mean before a list sends
/// out its excess: the threshold of the paper (section IV-A).
inline constexpr double kThresholdTasks = 10.0;
/// Seconds. Run time assumed for a class before any estimate is known.
inline constexpr double kDefaultTaskTime = 60.0;
/// Weight of a new measurement in learned averages.
inline constexpr double kLearnRate = 0.2;
/// Seconds. Interval at which lists are ordered anew: deadlines draw near.
inline constexpr double kReorderInterval = 1.0;
/// Seconds. Stands for the aim of work that has none; goes last of its rank.
inline constexpr double kNoAim = 1e6;
/// Share of a job's remaining work, in seconds of one task after the other,
/// by which the job is put behind others: small jobs first gets more of them
/// done in time when there is not room for all.
inline constexpr double kSmallFirst = 1.0;
/// Seconds. A job that has waited this long without beginning goes first of
/// its rank, whatever its size: users expect the largest to begin within four
/// minutes, and machines may first have to be rented and booted for it.
inline constexpr double kBeginWithin = 150.0;
/// Seconds. Interval at which every machine is looked at for what only time
/// changes.
inline constexpr double kReviewInterval = 1.0;
/// Seconds. Interval of decisions: what happens meanwhile is decided together.
inline constexpr double kDecideInterval = 0.05;
/// Seconds. Pause of a job for which stopping others made no room, and
/// searches for such room in one round: each walks through all machines.
inline constexpr double kDisplaceInterval = 1.0;
inline constexpr int kDisplaceSearches = 4;
/// Share of its aim by which late work's next aim lies later, and how often.
inline constexpr double kTierStep = 0.5;
inline constexpr int kMaxTier = 8;
/// Tasks of one job that act as an unrecorded delegate lists at once; a job of 100,000 tasks gets
/// its blocks as they are needed.
inline constexpr std::size_t kWindowTasks = 256;
/// Bytes of a block record that one task may take, as JSON.
inline constexpr std::size_t kTaskRecordBytes = 40;
/// Tasks of one block at most: a change of one task writes its whole block.
inline constexpr std::uint32_t kMaxBlockTasks = 32;
/// Seconds. Pause of a task that made room for another, so that whatever else
/// goes wrong, tasks can't displace each other at the speed of the commits.
inline constexpr double kPreemptPause = 1.0;
/// Failures of different jobs after which a machine is quarantined.
inline constexpr int kMachineErrorLimit = 2;
/// Machines on which a job's tasks fail before the job is blamed.
inline constexpr int kJobErrorMachines = 3;
/// Seconds. First pause before a failed task is tried again, and the longest.
inline constexpr double kErrorBackoff = 2.0;
inline constexpr double kErrorBackoffMax = 60.0;

// --- fleet -----------------------------------------------------------------------
/// Multiple of `ready_s` after which a machine that has not come up is given
/// up; boots usually take up to 1.5 times that.
inline constexpr double kBootGiveUp = 3.0;
/// Seconds. Interval of fleet decisions and of reading the machine list.
inline constexpr double kAutoscaleInterval = 1.0;
/// Share of the cloud's rate that rentals may take; lists and deletions need
/// the rest.
inline constexpr double kProvisionRateShare = 0.6;
inline constexpr double kListInterval = 5.0;
/// Seconds. Work that is bound to a zone and has waited this long gets machines
/// of that zone, however many stand idle elsewhere.
inline constexpr double kZonePatience = 3.0;
/// Seconds. Deletions are gathered for this long: each request counts against
/// the cloud's rate, and takes up to a hundred names.
inline constexpr double kTerminationInterval = 1.0;
/// Seconds. The pause after `no capacity`, doubled up to the maximum.
inline constexpr double kNoCapacityPause = 10.0;
inline constexpr double kNoCapacityPauseMax = 40.0;
/// Seconds. Memory of the rate at which flexible work arrives; and the time
/// after a takeover for which arrivals tell nothing, for users then catch up.
inline constexpr double kArrivalMemory = 90.0;
inline constexpr double kArrivalSettle = 10.0;
/// Seconds of arrivals after which their rate is worth acting upon.
inline constexpr double kArrivalLearn = 15.0;
/// Machines, and share of the ordinary work there is, kept free for services
/// that must start sooner than a machine boots.
inline constexpr double kHeadroomMachines = 0.5;
inline constexpr double kHeadroomShare = 0.1;
/// Boots. Work whose aim leaves less time than this beyond its run is rented
/// for ahead of its arrival; other work can wait for a machine.
inline constexpr double kUrgentBoots = 1.5;
/// Share of the expected change of demand that is acted upon.
inline constexpr double kForesight = 1.0;
/// Share of `ready_s` for which an idle machine is kept: a new one would be
/// paid for that long before it runs anything. Measured: shorter loses starts,
/// longer loses money (docs/measurements.md).
inline constexpr double kIdleShare = 0.75;
/// Machines for which that share holds. Larger fleets keep idle ones for less,
/// by the root of their size, as chance evens out; but never less than this
/// part, for a rental costs 60 s at least.
inline constexpr double kIdleFleet = 30;
inline constexpr double kIdleScaleMin = 0.45;

}  // namespace elmstall::constants
