#include "standins/engine/engine_stand_in.h"

int main(int argc, char** argv) {
  const quetzalridge::ProgramOptions options(argc, argv,
                                             quetzalridge::StandIn::Options(quetzalridge::EngineStandIn::OwnOptions()));
  return quetzalridge::EngineStandIn(options).Run();
}
