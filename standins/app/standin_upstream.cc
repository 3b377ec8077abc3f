#include "medlarwinch/standins/process_main.h"
#include "medlarwinch/standins/upstream_server.h"

int main(int argc, char** argv) {
  return medlarwinch::RunStandin(argc, argv, medlarwinch::ParseUpstreamSettings,
                                 medlarwinch::UpstreamServer::Start);
}
