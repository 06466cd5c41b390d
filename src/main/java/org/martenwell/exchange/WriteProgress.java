package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;

/** Reports each time that a socket accepts bytes, also where it doesn't accept all of a write. */
final class WriteProgress extends AbstractInspector<TcpSocket.Inspector>
        implements TcpSocket.Inspector {

    private final Runnable listener;

    /**
     * Creates an inspector.
     *
     * @param listener Called each time that the socket has accepted bytes.
     */
    WriteProgress(Runnable listener) {
        this.listener = listener;
    }

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buffer, int bytes) {
        if (bytes > 0) {
            listener.run();
        }
    }

    @Override
    public void onConnect(TcpSocket socket) {}

    @Override
    public void onReadTimeout(TcpSocket socket) {}

    @Override
    public void onRead(TcpSocket socket, ByteBuf buffer) {}

    @Override
    public void onReadEndOfStream(TcpSocket socket) {}

    @Override
    public void onReadError(TcpSocket socket, IOException exception) {}

    @Override
    public void onWriteTimeout(TcpSocket socket) {}

    @Override
    public void onWriteError(TcpSocket socket, IOException exception) {}

    @Override
    public void onDisconnect(TcpSocket socket) {}
}
