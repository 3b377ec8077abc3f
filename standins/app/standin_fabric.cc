#include "medlarwinch/standins/packet_fabric.h"
#include "medlarwinch/standins/process_main.h"

int main(int argc, char** argv) {
  return medlarwinch::RunStandin(argc, argv, medlarwinch::ParseFabricSettings,
                                 medlarwinch::PacketFabric::Start);
}
