package wheattrack.lab.virtual;

import wheattrack.core.BackendIndex;

/** The idle connections of one proxy of the virtual run to one backend. */
final class VirtualConnections extends BackendIndex.Backend<Integer> {
  private int idleConnections;

  /** The backend's incarnation to which the idle connections lead. */
  private int incarnation;

  VirtualConnections(Integer backend, int index) {
    super(backend, index);
  }

  int idleConnections() {
    return idleConnections;
  }

  int incarnation() {
    return incarnation;
  }

  /** Connections to an earlier incarnation of the backend are broken. */
  void dropBroken(int currentIncarnation) {
    if (incarnation != currentIncarnation) {
      incarnation = currentIncarnation;
      idleConnections = 0;
    }
  }

  /** A connection is being opened to this incarnation of the backend. */
  void connecting(int currentIncarnation) {
    incarnation = currentIncarnation;
  }

  /** Takes an idle connection, if there is one. */
  boolean takeIdle() {
    if (idleConnections == 0) {
      return false;
    }
    idleConnections--;
    return true;
  }

  void returnIdle() {
    idleConnections++;
  }
}
