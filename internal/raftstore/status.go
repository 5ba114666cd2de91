package raftstore

// Status is the outcome of a call.
type Status uint8

// The statuses.
const (
	StatusOK               Status = iota
	StatusConflict                // the record has another version, which is in the response
	StatusFull                    // the shard takes no new records
	StatusInvalid                 // the call can never succeed: a key that is too long, a shard that does not exist
	StatusDeadlineExceeded        // no result in time; a change may still take effect
	StatusNotSent                 // no member could be reached in time; no change takes effect
	StatusFormatTooNew            // some store does not understand the record format that the command needs
	statusNotLeader               // on the wire only: the caller tries another gateway
	Statuses                      // how many there are
)

var statusNames = [Statuses]string{"ok", "conflict", "full", "bad", "too_late", "not_sent", "too_new", "not_leader"}

// String is the status's name in counters.
func (s Status) String() string { return statusNames[s] }

// NoticeKind is the kind of a Notice. Notices "in the ledger" are given by its leader.
type NoticeKind uint8

// The kinds of notices.
const (
	NoticeBecameLeader    NoticeKind = iota // this gateway leads a group
	NoticeSteppedDown                       // it does not lead the group any more
	NoticeVotersChanged                     // a group's voters changed, in the ledger
	NoticeMemberAssigned                    // a group gets a new member, in the ledger
	NoticeGroupLost                         // a group lost its quorum for good and restarts empty, in the ledger
	NoticeStoreJoined                       // a store joined, in the ledger
	NoticeStoreRemoved                      // a store is lost for good, in the ledger
	NoticeMemberStale                       // the disk here is older than what this member had acknowledged: it must not run again
	NoticeMemberStarted                     // a member starts here
	NoticeMemberStopped                     // a member here is not wanted any more
	NoticeMemberRecovered                   // a member here takes part again after a restart
	NoticeDiskFailed                        // the disk here failed
	NoticeForeignCluster                    // a packet of another state store came in
	NoticeStoreRenumbered                   // the ledger counts this disk as lost: it goes on as a new, empty store
	NoticeFormatRaised                      // all stores understand a later record format, in the ledger
	NoticeFormatTooOld                      // a gateway does not understand the record format in use: its store may not join
	NoticeKinds                             // how many there are
)

var noticeNames = [NoticeKinds]string{
	"leads", "leads_no_more", "voters", "new_holder", "lost", "joined", "disk_gone", "disk_older", "replica_begins", "replica_ends",
	"replica_sure", "disk_failed", "another_founding", "disk_renumbered", "format_raised", "format_too_old",
}

// String is the kind's code in the log and in counters.
func (n NoticeKind) String() string { return noticeNames[n] }
