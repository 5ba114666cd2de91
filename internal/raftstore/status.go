package raftstore

// Status is what came of a call.
type Status uint8

// The statuses.
const (
	StatusOK               Status = iota
	StatusConflict                // the record's version is another one; it is in the answer
	StatusFull                    // the shard takes no new records
	StatusInvalid                 // the call can never succeed: a key that is too long, a shard that is not there
	StatusDeadlineExceeded        // no answer in time; a change may come into force all the same
	StatusNotSent                 // nobody could be asked in time, and no change comes into force
	StatusFormatTooNew            // some holder does not understand the format of records that it needs
	statusNotLeader
	Statuses
)

var statusNames = [Statuses]string{"ok", "conflict", "full", "bad", "too_late", "not_sent", "too_new", "not_leader"}

// String is the status's name in logs.
func (s Status) String() string { return statusNames[s] }

// Notice is what may be noticed.
type NoticeKind uint8

// The notices.
const (
	NoticeBecameLeader    NoticeKind = iota // this gateway leads a group
	NoticeSteppedDown                       // it does so no more
	NoticeVotersChanged                     // a group's voters changed, in the ledger
	NoticeMemberAssigned                    // a group gets another holder, in the ledger
	NoticeGroupLost                         // more of a group was lost than it can bear: what was promised in it is lost. In the ledger
	NoticeStoreJoined                       // a disk is known to the ledger
	NoticeStoreRemoved                      // a disk is lost for good, in the ledger
	NoticeMemberStale                       // the disk here is older than what this replica had acknowledged: the replica must not go on
	NoticeMemberStarted                     // a replica begins here
	NoticeMemberStopped                     // a replica here is no longer wanted
	NoticeMemberRecovered                   // a replica here takes part again after a start
	NoticeDiskFailed                        // the disk failed
	NoticeForeignCluster                    // a packet of another founding
	NoticeStoreRenumbered                   // the ledger holds this disk lost: it goes on as another one, empty
	NoticeFormatRaised                      // all holders understand a later format of records, in the ledger
	NoticeFormatTooOld                      // a gateway does not understand the format of records that is in use: it holds nothing
	NoticeKinds
)

var noticeNames = [NoticeKinds]string{
	"leads", "leads_no_more", "voters", "new_holder", "lost", "joined", "disk_gone", "disk_older", "replica_begins", "replica_ends",
	"replica_sure", "disk_failed", "another_founding", "disk_renumbered", "format_raised", "format_too_old",
}

// String is the notice's code in the log.
func (n NoticeKind) String() string { return noticeNames[n] }
