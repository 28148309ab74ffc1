#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coordination/loss_alarm.h"
#include "coordination/owner_monitor.h"
#include "coordination/roster.h"
#include "state/cold_endpoint.h"

namespace quetzalridge {

// Tells which instances run, from the rows of the roster.
//
// With many instances, the whole roster is read rarely, so it shows the loss of an instance late. For single losses
// this does no harm, since a few instances watch each one that has work. When many instances are lost at once, those
// that watch may be lost, too. So each instance also watches one other. An instance that finds a lost one looks for
// further ones, and if several are found within a few seconds, all instances read the roster often for a while.
class FleetMonitor {
 public:
  // An instance whose row has not changed for `silence_timeout` counts as stopped.
  FleetMonitor(TableStore* store, Scheduler* scheduler, Roster* roster, std::string instance, Duration silence_timeout,
               uint64_t seed);

  // The callback runs after each read of the roster.
  void SetChangedCallback(std::function<void()> callback) { m_changed = std::move(callback); }
  // Called when a watched instance no longer renews its row, last written with the version `row_version`.
  void OnSilent(const std::string& instance, int64_t row_version);
  // Called with all rows of the table of notices when some have changed.
  void OnNotices(const TableFollower::Rows& rows) { m_alarm.OnNotices(rows); }

  // The instance runs, and its row had been renewed shortly before the last read of the roster.
  bool IsLive(const RosterEntry& entry) const;
  // Includes this instance once it has read the rows of the others.
  std::vector<std::string> LiveInstances() const;
  // The live instances whose rows all others have read by now. All live instances if there are none, as after a start
  // of the whole fleet.
  std::vector<std::string> SettledInstances() const;
  // Whether the others expect this instance to grant permits. It must have renewed its row lately: the others may
  // replace it once its row has not changed for the silence timeout.
  GrantAuthority Authority() const;
  // One of the last reads of the roster, which began after `since`, showed that the process has ended or no longer
  // renews its row.
  bool HasStopped(const std::string& instance, const std::string& incarnation, TimePoint since) const;

 private:
  TimePoint Now() const { return m_scheduler->clock().Now(); }
  void OnScanned();
  bool IsSettled(Duration age) const { return age >= m_roster->NoticeTime(); }
  // The live instance that follows this one in an order by hashes; empty if there is none.
  std::string Neighbor() const;

  Scheduler* m_scheduler;
  Roster* m_roster;
  std::string m_instance;
  Duration m_silence_timeout;
  LossAlarm m_alarm;
  OwnerMonitor m_neighbor_monitor;
  std::function<void()> m_changed;
};

}  // namespace quetzalridge
