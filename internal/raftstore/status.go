package raftstore

// Status is the outcome of a call.
type Status uint8

// The statuses.
const (
	StatusOK               Status = iota
	StatusConflict                // the record has a different version, which is in the response
	StatusFull                    // the shard has no capacity for the write
	StatusInvalid                 // the call can never succeed, for example because its key is too long or its shard does not exist
	StatusDeadlineExceeded        // no result in time; a change may still take effect
	StatusNotSent                 // the call was not sent and has no effect, because no gateway was known in time or too many calls are pending
	StatusFormatTooNew            // some store does not understand the record format that the command needs
	statusNotLeader               // sent only between gateways; the calling gateway then tries a different one
	Statuses                      // number of statuses
)

var statusNames = [Statuses]string{"ok", "conflict", "full", "bad", "too_late", "not_sent", "too_new", "not_leader"}

// String returns the name of the status in counters.
func (s Status) String() string { return statusNames[s] }

// NoticeKind is the kind of a Notice. Kinds marked with "in the ledger" are emitted by the leader of the ledger.
type NoticeKind uint8

// The kinds of notices.
const (
	NoticeBecameLeader    NoticeKind = iota // this gateway leads a group
	NoticeSteppedDown                       // this gateway no longer leads a group
	NoticeVotersChanged                     // in the ledger: a group's voters changed
	NoticeMemberAssigned                    // in the ledger: a group gets a new member
	NoticeGroupLost                         // in the ledger: a group permanently lost its quorum and restarts empty
	NoticeStoreJoined                       // in the ledger: a store joined
	NoticeStoreRemoved                      // in the ledger: a store is permanently lost
	NoticeMemberStale                       // the disk lacks what this member had acknowledged, so it must not run again
	NoticeMemberStarted                     // a member starts on this gateway
	NoticeMemberStopped                     // a member on this gateway was stopped
	NoticeMemberRecovered                   // a member on this gateway takes part again after a restart
	NoticeDiskFailed                        // the disk of this gateway failed
	NoticeForeignCluster                    // a packet from a different state store arrived
	NoticeStoreRenumbered                   // the ledger counts this disk as lost, so it continues as a new, empty store
	NoticeFormatRaised                      // in the ledger: all stores understand a later record format
	NoticeFormatTooOld                      // a gateway does not understand the record format in use, so its store may not join
	NoticeKinds                             // number of kinds
)

var noticeNames = [NoticeKinds]string{
	"leads", "leads_no_more", "voters", "new_holder", "lost", "joined", "disk_gone", "disk_older", "replica_begins", "replica_ends",
	"replica_sure", "disk_failed", "another_founding", "disk_renumbered", "format_raised", "format_too_old",
}

// String returns the code of the kind in the log and in counters.
func (n NoticeKind) String() string { return noticeNames[n] }
