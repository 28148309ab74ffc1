#include "standins/plain_service/plain_service_stand_in.h"

int main(int argc, char** argv) {
  const quetzalridge::ProgramOptions options(
      argc, argv, quetzalridge::StandIn::Options(quetzalridge::PlainServiceStandIn::OwnOptions()));
  return quetzalridge::PlainServiceStandIn(options).Run();
}
