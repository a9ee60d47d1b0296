#ifndef FILBERTVANE_IO_MESH_OPERATORRECORDS_H
#define FILBERTVANE_IO_MESH_OPERATORRECORDS_H

#include "filbertvane/decision/mesh/RecordSet.h"

namespace filbertvane::io::mesh {

using decision::mesh::OperatorRecord;
using decision::mesh::OperatorRecords;
using decision::mesh::RecordEntries;
using decision::mesh::StorePosition;

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_IO_MESH_OPERATORRECORDS_H
