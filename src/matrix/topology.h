#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrill::matrix {

enum class Role
{
  Platform,
  Proxy,
  Engine,
  Service,
  Controller,
  Router
};

/// One process of a system.
struct Part
{
  std::string name; // `platform`, `proxy`, `router-<host>`, `controller-<host>`, upstream
  Role role = Role::Platform;
  std::size_t index = 0;      // among the hosts, engines or services
  std::string address;        // of a stand-in, or the operator port of a daemon
  std::string callerAddress;  // of a router
  bool checksFencing = false; // engines

  bool isDaemon() const { return role == Role::Controller || role == Role::Router; }
};

/// A deployment of `Topology::configuration`, with version 1.
struct Model
{
  std::string_view name;
  std::uint32_t maxReplicas;
  std::uint32_t footprintMb;
};

inline constexpr std::array<Model, 3> kModels{
  { { "bell", 1, 14000 }, { "tower", 2, 18000 }, { "log", 1, 22000 } }
};
inline constexpr std::string_view kBookingService = "visit-booking";
inline constexpr std::string_view kUnfencedEngine = "solola-e1";

/// Names and addresses of one system in the loopback block 127.40.<block>.*: three data
/// centres, five entry hosts, four engines and two plain services. Routers and
/// controllers reach the platform, upstreams and other data centres through routes of one
/// fault proxy. Thread safe.
class Topology
{
public:
  struct Placed
  {
    std::string_view name;
    std::size_t dataCentre;
  };

  static constexpr std::array<std::string_view, 3> kDataCentres{ "xela",
                                                                 "toto",
                                                                 "solola" };
  static constexpr std::array<Placed, 5> kHosts{ { { "xela-1", 0 },
                                                   { "xela-2", 0 },
                                                   { "toto-1", 1 },
                                                   { "solola-1", 2 },
                                                   { "solola-2", 2 } } };
  static constexpr std::array<Placed, 4> kEngines{
    { { "xela-e1", 0 }, { "xela-e2", 0 }, { "toto-e1", 1 }, { kUnfencedEngine, 2 } }
  };
  static constexpr std::array<Placed, 2> kServices{ { { "xela-s1", 0 },
                                                      { "toto-s1", 1 } } };
  static constexpr std::uint32_t kEngineMemoryMb = 40000;
  static constexpr std::uint32_t kBalancerDelayMs = 400;
  static constexpr std::uint32_t kLeaseMs = 1500;
  static constexpr std::uint32_t kOrderMs = 500;
  static constexpr std::uint32_t kMarginMs = 300;

  /// Precondition: `aBlock` is at most 255.
  explicit Topology(unsigned aBlock)
    : mBlock(aBlock)
  {
  }

  /// All processes, in the order in which they are started.
  std::vector<Part> parts() const;

  /// The address at which the callers of a host's router connect.
  std::string caller(std::size_t aHost) const { return at(20 + aHost, 8080); }

  /// The platform as operators reach it, through the route `platform-operator`.
  std::string operatorPlatform() const { return at(19, 7100); }

  /// All routes, as the option values of `savoryrill-testbed fault-proxy`. They are named
  /// `platform-<data centre>`, `platform-operator`, `<upstream>` and
  /// `peer-<data centre>-<host>`.
  std::vector<std::string> routes() const;

  /// Names of the routes between a data centre and the other ones.
  static std::vector<std::string> peerRoutes(std::size_t aDataCentre);

  /// Settings of an entry host.
  std::string settings(std::size_t aHost) const;

  /// The configuration; `aRevision` varies a value that has no effect on a row.
  std::string configuration(unsigned aRevision) const;

private:
  std::string at(std::size_t aHost, unsigned aPort) const;
  std::string peer(std::size_t aHost) const { return at(20 + aHost, 7000); }
  std::string peerRoute(std::size_t aDataCentre, std::size_t aHost) const;

  unsigned mBlock;
};

} // namespace savoryrill::matrix
