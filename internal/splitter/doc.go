// Package splitter splits the records of jobs that outgrow the state service's limits, and
// collects the records that a split leaves behind. The lock of internal/state guards it.
//
// Records that the version before made for larger values can't be rewritten once the limits have
// come down. So a job's tasks are split into smaller task ranges, in steps each of which is safe
// alone:
//
//  1. A job whose tasks have records of their own is frozen by a write of its main record. Every
//     placement and every end is committed under a precondition on that record, so those on
//     their way fail and no new ones are made. (A job whose tasks are inside its main record
//     needs no such step: its version covers them.)
//  2. The small task ranges are written under keys of the next generation, which nobody reads
//     yet, each under a precondition on the main record and on what it was copied from. One whose
//     version is above both was copied from what there is.
//  3. One write of the main record makes them the job's task ranges.
//
// What was written by a late transaction after the first step changes only records that no longer
// count. The old records are deleted when there is time.
package splitter
