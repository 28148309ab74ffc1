#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <thread>

namespace quetzalridge::history {

// A TCP relay to one port on the loopback address that can cut, silence and delay connections. It runs on a thread of
// its own, so that it goes on while the test waits.
class TcpRelay {
 public:
  enum class Mode {
    kPass,
    // New and existing connections are closed.
    kCut,
    // Connections are accepted, but nothing is passed on.
    kSilent,
  };

  explicit TcpRelay(int target_port);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  int port() const { return m_port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  void SetMode(Mode mode) { m_mode = mode; }
  // For each piece, in both directions.
  void SetDelayMs(int64_t delay_ms) { m_delay_ms = delay_ms; }
  // Present connections go silent for good; new ones work.
  void SilenceConnections() { m_silence_existing = true; }
  // Present connections are closed; new ones work.
  void CutConnections() { m_cut_existing = true; }

 private:
  struct Piece {
    int64_t due_ms = 0;
    std::string data;
  };
  // One direction of a connection.
  struct Flow {
    int from = -1;
    int to = -1;
    bool ended = false;
    std::deque<Piece> pieces;
  };
  struct Connection {
    Flow forward;
    Flow backward;
    bool silent = false;
  };

  void Run();
  void Accept();
  void Wait();
  // False when the connection is over.
  bool Pump(Connection* connection);
  bool PumpFlow(Flow* flow);
  static void Close(const Connection& connection);

  const int m_target_port;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<Mode> m_mode{Mode::kPass};
  std::atomic<int64_t> m_delay_ms{0};
  std::atomic<bool> m_silence_existing{false};
  std::atomic<bool> m_cut_existing{false};
  std::atomic<bool> m_stopped{false};
  std::list<Connection> m_connections;
  std::thread m_thread;
};

}  // namespace quetzalridge::history
