#include "standins/platform/platform_stand_in.h"

int main(int argc, char** argv) {
  const quetzalridge::ProgramOptions options(
      argc, argv, quetzalridge::StandIn::Options(quetzalridge::PlatformStandIn::OwnOptions()));
  return quetzalridge::PlatformStandIn(options).Run();
}
