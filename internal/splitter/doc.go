// Package splitter splits the records of jobs that exceed the size limit of a value in the state
// service, and deletes the records that a split leaves behind. The lock of internal/state guards
// the package's state.
//
// Records that the previous version wrote under a higher limit on values can't be rewritten once
// the limit is lowered. So a job's tasks are split into smaller task ranges, in steps each of which
// is safe on its own:
//
//  1. If the job's task ranges are in separate records, the job is frozen by a write of its main
//     record. Every placement and every end of a task is committed under a precondition on the main
//     record, so transactions in flight fail and no new ones are made. A job whose tasks are inside
//     its main record needs no such step, because the version of that record covers them.
//  2. The smaller task ranges are written under keys of the next generation, which are not read yet,
//     each under preconditions on the main record and on the record that it is copied from. A copy
//     whose version is higher than both of theirs has the current contents and is not written again.
//  3. A single write of the main record makes the copies the job's task ranges.
//
// A delayed transaction that places or ends a task of the job was built before one of these writes
// of the main record, so its precondition on that record fails. The old task ranges are no longer
// in use after the last step, and are deleted later, as garbage.
package splitter
